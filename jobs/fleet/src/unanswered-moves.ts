import type { Vm } from '@wisteriaslip/jobs.model'
import type { PlannedMove } from './pool-autoscaler.ts'

/**
 * The VM of a move without a response stays drained for this long after its call has ended: 4 s after it was sent, if the call
 * timed out, as long as tasks keep off a VM that was called drained (jobs/scheduler/src/withdrawn-room.ts). The platform may carry
 * the move out later, but tasks that fit only there may not wait for that.
 */
const HOLD_MS = 2_500

/** Keeps VMs drained whose moves had no response: they may yet be moved, which ends what runs on them. */
export class UnansweredMoves {
  /** When the call ended, by the injected clock, and the pool that the VM was in, by VM. */
  private readonly unanswered = new Map<string, { readonly endedAt: number, readonly from: string }>()

  /**
   * @param move - move whose call has ended without a response
   * @param now - time of the injected clock, in milliseconds
   */
  add ({ vm, from }: PlannedMove, now: number): void {
    this.unanswered.set(vm, { endedAt: now, from })
  }

  /**
   * @param vms - the platform's list of VMs, which shows the moves that were carried out
   * @param now - time of the injected clock, in milliseconds
   * @returns ids of the VMs that may yet be moved
   */
  held (vms: readonly Vm[], now: number): string[] {
    const listed = new Map(vms.map(vm => [vm.id, vm]))
    for (const [vm, { endedAt, from }] of this.unanswered) {
      const { state, pool } = listed.get(vm) ?? { state: 'up', pool: from }
      if (now - endedAt >= HOLD_MS || state !== 'up' || pool !== from) this.unanswered.delete(vm)
    }
    return [...this.unanswered.keys()]
  }
}
