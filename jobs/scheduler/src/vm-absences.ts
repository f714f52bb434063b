import type { TrackedWorker } from './tracked-worker.ts'

/**
 * For how long complete lists have left out the VMs of silent workers: a term that ends before that proves their end hands it on, so
 * that its successor does not begin anew.
 */
export class VmAbsences {
  private readonly carriedMs = new Map<string, number>()
  private readonly knownMs = new Map<string, number>()

  /**
   * Takes over what earlier leaders have seen, as far as it can be read.
   * @param absentMs - for how long lists had left out the VM of each incarnation, in milliseconds, by its key
   */
  takeOver (absentMs: Readonly<Record<string, number>>): void {
    for (const [incarnation, ms] of Object.entries(absentMs)) if (Number.isFinite(ms) && ms >= 0) this.carriedMs.set(incarnation, ms)
  }

  /**
   * @param worker - a silent worker
   * @returns for how long lists of earlier terms had left out its VM when the last one ended, in milliseconds; 0 if it has responded since
   */
  carriedOf (worker: TrackedWorker): number {
    return worker.lastResponseAt === undefined ? this.carriedMs.get(worker.incarnation()) ?? 0 : 0
  }

  /**
   * Notes what the latest list has shown.
   * @param worker - a silent worker
   * @param absentMs - for how long lists have left out its VM, in milliseconds; undefined if the list shows it, or proves nothing
   */
  note (worker: TrackedWorker, absentMs: number | undefined): void {
    if (absentMs === undefined) this.forget(worker)
    else this.knownMs.set(worker.incarnation(), absentMs)
  }

  /** @param worker - one that has responded or ended */
  forget (worker: TrackedWorker): void {
    this.knownMs.delete(worker.incarnation())
    this.carriedMs.delete(worker.incarnation())
  }

  /**
   * @param worker - a worker
   * @returns what a successor has to know of it, in milliseconds; undefined if there is nothing
   */
  absentMs (worker: TrackedWorker): number | undefined {
    if (worker.ended || worker.reachable) return undefined
    return this.knownMs.get(worker.incarnation()) ?? (this.carriedOf(worker) || undefined)
  }
}
