import { resolveBudget, type PoolDoc } from '@wisteriaslip/config.documents'
import { err, ok, type Result } from '@wisteriaslip/core.result'
import type { Disruption, PoolLedger } from './types.ts'

/** Why a change of a ledger was not made. */
export type LedgerError =
  | { readonly kind: 'no-room', readonly code: 'BUDGET_NO_ROOM', readonly message: string }
  | { readonly kind: 'not-a-member', readonly code: 'VM_NOT_IN_POOL', readonly message: string }
  | { readonly kind: 'already-disrupted', readonly code: 'VM_ALREADY_DISRUPTED', readonly message: string }
  | { readonly kind: 'conflict', readonly code: 'LEDGER_CONFLICT', readonly message: string }
  | { readonly kind: 'unavailable', readonly code: 'LEDGER_UNAVAILABLE', readonly message: string }

/** What else counts against a budget. */
export interface BudgetOpts {
  /** VMs of the pool that are down or unreachable, whoever caused it. */
  readonly failed: ReadonlySet<string>
}

/**
 * How many more VMs of a pool may be disrupted.
 * @param pool - with its budget
 * @param ledger - its VMs and the places taken
 * @param opts - failed VMs
 * @returns VMs; negative when failures have gone beyond the budget
 */
export function disruptionsAllowed (pool: PoolDoc, ledger: PoolLedger, opts: BudgetOpts): number {
  const unavailable = ledger.members.filter(vm => ledger.places[vm] !== undefined || opts.failed.has(vm))
  return resolveBudget(pool, ledger.members.length) - unavailable.length
}

/**
 * Takes a place for a VM. A VM that has failed already counts, so taking its place costs no room.
 * @param pool - with its budget
 * @param ledger - as it is
 * @param vm - name of the VM
 * @param place - to take
 * @param opts - failed VMs
 * @returns the ledger as it would be
 */
export function addDisruption (pool: PoolDoc, ledger: PoolLedger, vm: string, place: Disruption, opts: BudgetOpts): Result<PoolLedger, LedgerError> {
  if (!ledger.members.includes(vm)) return err({ kind: 'not-a-member', code: 'VM_NOT_IN_POOL', message: `${vm} is not in pool ${pool.name}` })
  if (ledger.places[vm] !== undefined) return err({ kind: 'already-disrupted', code: 'VM_ALREADY_DISRUPTED', message: `${vm} has a place already` })
  const cost = opts.failed.has(vm) ? 0 : 1
  const room = place.reason === 'move' ? roomAfterMove(pool, ledger, vm, opts) : disruptionsAllowed(pool, ledger, opts) - cost
  if (room < 0) return err({ kind: 'no-room', code: 'BUDGET_NO_ROOM', message: `pool ${pool.name} has no room in its budget` })
  return ok({ ...ledger, places: { ...ledger.places, [vm]: place } })
}

/** A move must leave the pool within its budget both while the VM drains and once it is gone for good. */
function roomAfterMove (pool: PoolDoc, ledger: PoolLedger, vm: string, opts: BudgetOpts): number {
  const during = disruptionsAllowed(pool, ledger, opts) - (opts.failed.has(vm) ? 0 : 1)
  const after = disruptionsAllowed(pool, { ...ledger, members: ledger.members.filter(each => each !== vm) }, opts)
  const leaving = Object.values(ledger.places).filter(each => each.reason === 'move').length
  return Math.min(during, after - leaving)
}
