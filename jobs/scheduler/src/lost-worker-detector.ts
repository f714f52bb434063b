import type { Clock } from '@wisteriaslip/core.result'
import type { Vm } from '@wisteriaslip/jobs.model'
import type { Scheduler } from './scheduler.ts'
import type { TrackedWorker } from './tracked-worker.ts'

/** A worker that has not answered for this long is looked for in the list of VMs. */
const UNRESPONSIVE_MS = 250
/** As many lists in a row must say that a life is over: one may be older than the life itself. */
const REQUIRED_VM_LISTS = 2

interface SuspectedLoss {
  /** First seen without an answer, by the injected clock. */
  readonly since: number
  confirmations: number
}

/**
 * Finds out from the list of VMs that lives of silent workers are over, long before their leases are: a VM that was
 * moved, maintained or switched off runs nothing of before.
 */
export class LostWorkerDetector {
  private readonly scheduler: Scheduler
  private readonly clock: Clock
  private readonly suspects = new Map<TrackedWorker, SuspectedLoss>()

  constructor (scheduler: Scheduler, clock: Clock) {
    this.scheduler = scheduler
    this.clock = clock
  }

  /** @returns whether a list of VMs would help now */
  needsVmList (): boolean {
    const now = this.clock.now()
    for (const worker of this.suspects.keys()) {
      if (!this.isUnresponsive(worker)) this.suspects.delete(worker)
    }
    for (const worker of this.scheduler.workers.values()) {
      if (this.isUnresponsive(worker) && !this.suspects.has(worker)) this.suspects.set(worker, { since: now, confirmations: 0 })
    }
    return [...this.suspects.values()].some(suspect => now - suspect.since >= UNRESPONSIVE_MS)
  }

  /**
   * Takes in a list of VMs.
   * @param vms - as the platform lists them
   * @param requestedAt - when the list was asked for, by the injected clock
   * @returns workers whose lives are over; the scheduler knows
   */
  applyVmList (vms: readonly Vm[], requestedAt: number): TrackedWorker[] {
    const byId = new Map(vms.map(vm => [vm.id, vm]))
    const lost: TrackedWorker[] = []
    for (const [worker, suspect] of this.suspects) {
      if (!this.isUnresponsive(worker) || requestedAt - suspect.since < UNRESPONSIVE_MS) continue
      const vm = byId.get(worker.registration.vm)
      suspect.confirmations = vm !== undefined && provesIncarnationEnded(vm, worker) ? suspect.confirmations + 1 : 0
      if (suspect.confirmations < REQUIRED_VM_LISTS) continue
      this.scheduler.endIncarnation(worker)
      this.suspects.delete(worker)
      lost.push(worker)
    }
    return lost
  }

  /** Whether the worker does not answer, and something waits until it is known what runs there. */
  private isUnresponsive (worker: TrackedWorker): boolean {
    if (worker.reachable || worker.ended || this.scheduler.workers.get(worker.registration.id) !== worker) return false
    return worker.runs.size > 0 || (!worker.hasKnownRuns() && this.clock.now() < worker.unknownRunsUntil)
  }
}

/** Whether a VM, as listed, cannot be running this life of a worker. */
function provesIncarnationEnded (vm: Vm, worker: TrackedWorker): boolean {
  if (vm.state !== 'up' || vm.pool !== worker.registration.service) return true
  return vm.worker !== '' && vm.worker !== worker.registration.id
}
