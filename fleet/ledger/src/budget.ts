import { resolveMaxUnavailable, type PoolDoc } from '@wisteriaslip/config.documents'
import { err, ok, type Result } from '@wisteriaslip/core.result'
import type { Disruption, PoolLedger } from './types.ts'

/** Why a ledger was not changed. */
export type LedgerError =
  | { readonly kind: 'no-room', readonly code: 'BUDGET_NO_ROOM', readonly message: string }
  | { readonly kind: 'not-a-member', readonly code: 'VM_NOT_IN_POOL', readonly message: string }
  | { readonly kind: 'already-disrupted', readonly code: 'VM_ALREADY_DISRUPTED', readonly message: string }
  | { readonly kind: 'conflict', readonly code: 'LEDGER_CONFLICT', readonly message: string }
  | { readonly kind: 'unavailable', readonly code: 'LEDGER_UNAVAILABLE', readonly message: string }

/** What counts against a budget besides the disruptions in the ledger. */
export interface BudgetOpts {
  /** VMs of the pool that are down or unreachable, regardless of the cause. */
  readonly failed: ReadonlySet<string>
}

/**
 * Returns how many more VMs of a pool may be disrupted.
 * @param pool - pool with its budget
 * @param ledger - members and current disruptions of the pool
 * @param opts - failed VMs
 * @returns number of VMs; negative when failures exceed the budget
 */
export function disruptionsAllowed (pool: PoolDoc, ledger: PoolLedger, opts: BudgetOpts): number {
  const unavailable = ledger.members.filter(vm => ledger.places[vm] !== undefined || opts.failed.has(vm))
  return resolveMaxUnavailable(pool, ledger.members.length) - unavailable.length
}

/**
 * Adds a disruption of a VM if the budget allows it. A failed VM already counts against the budget, so disrupting it
 * uses up nothing more.
 * @param pool - pool with its budget
 * @param ledger - current ledger of the pool
 * @param vm - name of the VM
 * @param disruption - disruption to add
 * @param opts - failed VMs
 * @returns the new ledger, or `not-a-member`, `already-disrupted` or `no-room`
 */
export function addDisruption (pool: PoolDoc, ledger: PoolLedger, vm: string, disruption: Disruption, opts: BudgetOpts): Result<PoolLedger, LedgerError> {
  if (!ledger.members.includes(vm)) return err({ kind: 'not-a-member', code: 'VM_NOT_IN_POOL', message: `VM "${vm}" is not in pool "${pool.name}"` })
  if (ledger.places[vm] !== undefined) return err({ kind: 'already-disrupted', code: 'VM_ALREADY_DISRUPTED', message: `VM "${vm}" is already under disruption` })
  const cost = opts.failed.has(vm) ? 0 : 1
  const remaining = disruption.reason === 'move' ? remainingAfterMove(pool, ledger, vm, opts) : disruptionsAllowed(pool, ledger, opts) - cost
  if (remaining < 0) return err({ kind: 'no-room', code: 'BUDGET_NO_ROOM', message: `the disruption budget of pool "${pool.name}" is exhausted` })
  return ok({ ...ledger, places: { ...ledger.places, [vm]: disruption } })
}

/** A move must keep the pool within its budget both while the VM drains and after the VM has left the pool. */
function remainingAfterMove (pool: PoolDoc, ledger: PoolLedger, vm: string, opts: BudgetOpts): number {
  const during = disruptionsAllowed(pool, ledger, opts) - (opts.failed.has(vm) ? 0 : 1)
  const after = disruptionsAllowed(pool, { ...ledger, members: ledger.members.filter(each => each !== vm) }, opts)
  const leaving = Object.values(ledger.places).filter(each => each.reason === 'move').length
  return Math.min(during, after - leaving)
}
