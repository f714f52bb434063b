import type { Clock } from '@wisteriaslip/core.result'
import type { Vm } from '@wisteriaslip/jobs.model'
import type { Scheduler } from './scheduler.ts'
import type { TrackedWorker } from './tracked-worker.ts'

/** How long a worker must have been unresponsive before it is checked against the list of VMs. */
const VM_LIST_CHECK_AFTER_MS = 250
/** Consecutive VM lists that must prove the end of an incarnation: a single one may be older than the incarnation. */
const REQUIRED_VM_LISTS = 2

interface SuspectedLoss {
  /** When the worker was first seen unresponsive, by the injected clock. */
  readonly since: number
  confirmations: number
}

/**
 * Detects from the list of VMs that incarnations of unresponsive workers have ended, long before their leases expire: a
 * VM that was moved, maintained or powered off no longer runs what it ran before.
 */
export class LostWorkerDetector {
  private readonly scheduler: Scheduler
  private readonly clock: Clock
  private readonly suspects = new Map<TrackedWorker, SuspectedLoss>()

  constructor (scheduler: Scheduler, clock: Clock) {
    this.scheduler = scheduler
    this.clock = clock
  }

  /** @returns whether some worker has been unresponsive for long enough to check it against the list of VMs */
  needsVmList (): boolean {
    const now = this.clock.now()
    for (const worker of this.suspects.keys()) {
      if (!this.isSuspect(worker)) this.suspects.delete(worker)
    }
    for (const worker of this.scheduler.workers.values()) {
      if (this.isSuspect(worker) && !this.suspects.has(worker)) this.suspects.set(worker, { since: now, confirmations: 0 })
    }
    return [...this.suspects.values()].some(suspect => now - suspect.since >= VM_LIST_CHECK_AFTER_MS)
  }

  /**
   * Applies a list of VMs, and ends the incarnations in the scheduler that are proven to be over.
   * @param vms - VMs as the platform lists them
   * @param requestedAt - when the list was requested, by the injected clock
   * @returns the lost workers
   */
  applyVmList (vms: readonly Vm[], requestedAt: number): TrackedWorker[] {
    const byId = new Map(vms.map(vm => [vm.id, vm]))
    const lost: TrackedWorker[] = []
    for (const [worker, suspect] of this.suspects) {
      if (!this.isSuspect(worker) || requestedAt - suspect.since < VM_LIST_CHECK_AFTER_MS) continue
      const vm = byId.get(worker.registration.vm)
      suspect.confirmations = vm !== undefined && provesIncarnationEnded(vm, worker) ? suspect.confirmations + 1 : 0
      if (suspect.confirmations < REQUIRED_VM_LISTS) continue
      this.scheduler.endIncarnation(worker)
      this.suspects.delete(worker)
      lost.push(worker)
    }
    return lost
  }

  /** Returns whether the worker does not respond and scheduling depends on what runs there. */
  private isSuspect (worker: TrackedWorker): boolean {
    if (worker.reachable || worker.ended || this.scheduler.workers.get(worker.registration.id) !== worker) return false
    return worker.runs.size > 0 || worker.mayHaveUnknownRuns(this.clock.now())
  }
}

/** Returns whether the VM, as listed, cannot be running this incarnation of the worker. */
function provesIncarnationEnded (vm: Vm, worker: TrackedWorker): boolean {
  if (vm.state !== 'up' || vm.pool !== worker.registration.service) return true
  return vm.worker !== '' && vm.worker !== worker.registration.id
}
