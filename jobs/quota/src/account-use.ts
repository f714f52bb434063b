import type { Resources } from '@wisteriaslip/jobs.model'
import type { Run } from '@wisteriaslip/jobs.scheduler'
import { minus, nothing, plus } from './resources.ts'

/**
 * What an account's runs take that the term tracks: those without a response, those that are being stopped and those on silent workers
 * too. The processor time of a backfill step counts: it is in use, although it does not count against a worker's capacity.
 */
export class AccountUse {
  private readonly runs = new Set<Run>()
  private sum: Resources = nothing

  /** @param run - a run that may be in progress from now on */
  add (run: Run): void {
    if (this.runs.has(run)) return
    this.runs.add(run)
    this.sum = plus(this.sum, run.task.step.spec.demand)
  }

  /** @param run - a run that neither is in progress nor can begin */
  remove (run: Run): void {
    if (!this.runs.delete(run)) return
    this.sum = this.runs.size === 0 ? nothing : minus(this.sum, run.task.step.spec.demand)
  }

  /** @returns what all tracked runs take */
  total (): Resources {
    return this.sum
  }
}
