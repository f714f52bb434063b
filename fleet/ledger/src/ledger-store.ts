import { err, ok, type Result } from '@wisteriaslip/core.result'
import { splitChanges, toVersioned, type Guard, type Store, type StoreError, type Versioned } from '@wisteriaslip/store.client'
import type { LedgerError } from './budget.ts'
import { emptyLedger, type PoolLedger } from './types.ts'

/** The assignment of a VM, and the ledger of its pool. */
const CHANGES_PER_ASSIGNMENT = 2

/** Options of {@link LedgerStore}. */
export interface LedgerStoreOpts {
  /** Key prefix of all ledgers. */
  readonly ledgers: string
  /** Key prefix of all assignments. */
  readonly assignments: string
}

/** A move that the ledger of a pool records. */
export interface RecordedMove {
  /** Name of the pool that the VM leaves. */
  readonly from: string
  /** When its disruption began, as recorded. */
  readonly since: number
}

/**
 * Reads and changes ledgers by compare-and-swap. Each change starts from the value read from the store, not from a
 * local replica, except in {@link LedgerStore.assignVms}.
 */
export class LedgerStore {
  private readonly store: Store
  private readonly opts: LedgerStoreOpts

  constructor (store: Store, opts: LedgerStoreOpts) {
    this.store = store
    this.opts = opts
  }

  /**
   * Changes the ledger of one pool.
   * @param pool - name of the pool
   * @param guard - proves that the writer leads the pool
   * @param change - computes the new ledger from the current one, or returns why it must not change
   * @returns the new ledger, or the error of `change` or of the store
   */
  async updateLedger (pool: string, guard: Guard, change: (ledger: PoolLedger) => Result<PoolLedger, LedgerError>): Promise<Result<PoolLedger, LedgerError>> {
    const doc = await this.read(pool)
    if (!doc.ok) return doc
    const next = change(ledgerOf(doc.value))
    if (!next.ok) return next
    const written = await this.store.update([{ key: this.opts.ledgers + pool, prior: doc.value, value: next.value }], { guards: [guard] })
    return written.ok ? next : err(toLedgerError(written.error))
  }

  /**
   * Moves a VM from its current pool, if any, to another. The assignment and both ledgers change in one transaction.
   * @param vm - name of the VM
   * @param to - name of the destination pool
   * @param guards - prove that the writer leads the resources that it changes
   * @param recorded - the move that this completes: the VM moves only if it is still the one recorded in the ledger of `from`
   * @returns nothing, or `conflict` or `unavailable`
   */
  async moveVm (vm: string, to: string, guards: readonly Guard[], recorded?: RecordedMove): Promise<Result<void, LedgerError>> {
    const key = this.opts.assignments + vm
    const prior = await this.store.get(key)
    if (!prior.ok) return err(toLedgerError(prior.error))
    const from = (prior.value?.value as { pool: string } | undefined)?.pool
    if (from === to) return ok(undefined)
    if (recorded !== undefined && from !== recorded.from) return err(moveChanged(vm))
    const destination = await this.read(to)
    if (!destination.ok) return destination
    const changes = [
      { key, prior: prior.value, value: { pool: to } },
      { key: this.opts.ledgers + to, prior: destination.value, value: withMember(ledgerOf(destination.value), vm) }
    ]
    if (from !== undefined) {
      const source = await this.read(from)
      if (!source.ok) return source
      const disruption = ledgerOf(source.value).places[vm]
      if (recorded !== undefined && (disruption?.to !== to || disruption.since !== recorded.since)) return err(moveChanged(vm))
      changes.push({ key: this.opts.ledgers + from, prior: source.value, value: withoutMember(ledgerOf(source.value), vm) })
    }
    const written = await this.store.update(changes, { guards })
    return written.ok ? ok(undefined) : err(toLedgerError(written.error))
  }

  /**
   * Assigns VMs that are in no pool yet, in as few transactions as possible. It uses cached values and so needs no read per
   * VM: a stale value makes a transaction fail, and the next step tries again.
   * @param vms - VM names, each with the name of its pool
   * @param guards - prove that the writer leads the resources that it changes
   * @param cached - returns the cached value of a key
   * @returns nothing, or `conflict` or `unavailable`
   */
  async assignVms (vms: ReadonlyArray<{ readonly vm: string, readonly pool: string }>, guards: readonly Guard[], cached: (key: string) => Versioned | undefined): Promise<Result<void, LedgerError>> {
    const latest = new Map<string, Versioned | undefined>()
    for (const { pool } of vms) latest.set(pool, cached(this.opts.ledgers + pool))
    for (const group of splitChanges(vms, { changes: CHANGES_PER_ASSIGNMENT, commonGuards: guards.length })) {
      const ledgers = new Map<string, PoolLedger>()
      for (const { vm, pool } of group) ledgers.set(pool, withMember(ledgers.get(pool) ?? ledgerOf(latest.get(pool)), vm))
      const assignments = group.map(({ vm, pool }) => ({ key: this.opts.assignments + vm, prior: undefined, value: { pool } }))
      const changed = [...ledgers].map(([pool, value]) => ({ key: this.opts.ledgers + pool, prior: latest.get(pool), value }))
      const written = await this.store.update([...assignments, ...changed], { guards })
      if (!written.ok) return err(toLedgerError(written.error))
      for (const change of changed) latest.set(change.key.slice(this.opts.ledgers.length), toVersioned(change, written.value))
    }
    return ok(undefined)
  }

  private async read (pool: string): Promise<Result<Versioned | undefined, LedgerError>> {
    const doc = await this.store.get(this.opts.ledgers + pool)
    return doc.ok ? doc : err(toLedgerError(doc.error))
  }
}

function ledgerOf (doc: Versioned | undefined): PoolLedger {
  return (doc?.value as PoolLedger | undefined) ?? emptyLedger
}

function withMember (ledger: PoolLedger, vm: string): PoolLedger {
  return { ...ledger, members: [...ledger.members.filter(each => each !== vm), vm].sort() }
}

function withoutMember (ledger: PoolLedger, vm: string): PoolLedger {
  const places = Object.fromEntries(Object.entries(ledger.places).filter(([name]) => name !== vm))
  return { ...ledger, members: ledger.members.filter(each => each !== vm), places }
}

function moveChanged (vm: string): LedgerError {
  return { kind: 'conflict', code: 'LEDGER_CONFLICT', message: `the move of VM "${vm}" has changed` }
}

function toLedgerError (error: StoreError): LedgerError {
  if (error.kind === 'conflict') return { kind: 'conflict', code: 'LEDGER_CONFLICT', message: error.message }
  return { kind: 'unavailable', code: 'LEDGER_UNAVAILABLE', message: `${error.code}: ${error.message}` }
}
