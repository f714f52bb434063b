import type { Clock } from '@wisteriaslip/core.result'
import type { Vm } from '@wisteriaslip/jobs.model'
import type { Scheduler } from './scheduler.ts'
import type { TrackedWorker } from './tracked-worker.ts'

/** A worker that has not answered for this long is looked for in the list of VMs. */
const SILENT_MS = 250
/** As many lists in a row must say that a life is over: one may be older than the life itself. */
const LISTS_TO_BELIEVE = 2

interface Doubt {
  /** First seen without an answer, by the injected clock. */
  readonly since: number
  lists: number
}

/**
 * Finds out from the list of VMs that lives of silent workers are over, long before their leases are: a VM that was
 * moved, maintained or switched off runs nothing of before.
 */
export class LostWorkerDetector {
  private readonly scheduler: Scheduler
  private readonly clock: Clock
  private readonly doubts = new Map<TrackedWorker, Doubt>()

  constructor (scheduler: Scheduler, clock: Clock) {
    this.scheduler = scheduler
    this.clock = clock
  }

  /** @returns whether a list of VMs would help now */
  needsVmList (): boolean {
    const now = this.clock.now()
    for (const worker of this.doubts.keys()) {
      if (!this.isSilent(worker)) this.doubts.delete(worker)
    }
    for (const worker of this.scheduler.workers.values()) {
      if (this.isSilent(worker) && !this.doubts.has(worker)) this.doubts.set(worker, { since: now, lists: 0 })
    }
    return [...this.doubts.values()].some(doubt => now - doubt.since >= SILENT_MS)
  }

  /**
   * Takes in a list of VMs.
   * @param vms - as the platform lists them
   * @param askedAt - when the list was asked for, by the injected clock
   * @returns workers whose lives are over; the scheduler knows
   */
  applyVmList (vms: readonly Vm[], askedAt: number): TrackedWorker[] {
    const byId = new Map(vms.map(vm => [vm.id, vm]))
    const over: TrackedWorker[] = []
    for (const [worker, doubt] of this.doubts) {
      if (!this.isSilent(worker) || askedAt - doubt.since < SILENT_MS) continue
      const vm = byId.get(worker.registration.vm)
      doubt.lists = vm !== undefined && excludes(vm, worker) ? doubt.lists + 1 : 0
      if (doubt.lists < LISTS_TO_BELIEVE) continue
      this.scheduler.endIncarnation(worker)
      this.doubts.delete(worker)
      over.push(worker)
    }
    return over
  }

  /** Whether the worker does not answer, and something waits until it is known what runs there. */
  private isSilent (worker: TrackedWorker): boolean {
    if (worker.reachable || worker.ended || this.scheduler.workers.get(worker.registration.id) !== worker) return false
    return worker.runs.size > 0 || (!worker.isKnown() && this.clock.now() < worker.unknownRunsUntil)
  }
}

/** Whether a VM, as listed, cannot be running this life of a worker. */
function excludes (vm: Vm, worker: TrackedWorker): boolean {
  if (vm.state !== 'up' || vm.pool !== worker.registration.service) return true
  return vm.worker !== '' && vm.worker !== worker.registration.id
}
