import type { JobRequest } from '@wisteriaslip/jobs.model'
import type { VirtualProcess } from '@wisteriaslip/testing.jobs'
import type { Draw } from './draw.ts'
import type { SimulatedEntry } from './simulated-entry.ts'

/** A caller that has had no answer by then submits the job again. */
const ANSWER_TIMEOUT_MS = 1_500
const RETRY_MS = 200
/** How long an answer is under way. */
const ANSWER_MS = 2

/** Submits and cancels jobs at entries that are ready, again and again until one has accepted that. */
export class JobCaller {
  private readonly process: VirtualProcess
  private readonly opts: { entries: readonly SimulatedEntry[], draw: Draw, onAccepted: (job: JobRequest) => void }
  private readonly accepted = new Set<string>()
  private readonly cancelled = new Set<string>()

  /**
   * @param process - gives the time
   * @param opts - `draw` decides which entry is called; `onAccepted` is called once for each job, when the caller knows
   */
  constructor (process: VirtualProcess, opts: { entries: readonly SimulatedEntry[], draw: Draw, onAccepted: (job: JobRequest) => void }) {
    this.process = process
    this.opts = opts
  }

  /**
   * @param job - job to submit, also if that takes long
   */
  submit (job: JobRequest): void {
    if (this.accepted.has(job.id)) return
    const entry = this.drawReady()
    entry?.within(({ intake }) => {
      intake.submit(job).then(({ kind }) => this.process.outsideAfter(ANSWER_MS, () => { if (kind === 'accepted') this.accept(job) }), () => {})
    })
    this.process.outsideAfter(entry === undefined ? RETRY_MS : ANSWER_TIMEOUT_MS, () => this.submit(job))
  }

  /**
   * Cancels a job, again and again until an entry has confirmed that.
   * @param id - id of the job
   * @param queue - queue that it was submitted to
   */
  cancel (id: string, queue: string): void {
    if (this.cancelled.has(id)) return
    const entry = this.drawReady()
    entry?.within(({ intake, site }) => {
      const found = site.queue(queue)
      if (found !== undefined) intake.cancel(found, id).then(answer => this.process.outsideAfter(ANSWER_MS, () => { if (answer !== 'unknown') this.cancelled.add(id) }), () => {})
    })
    this.process.outsideAfter(entry === undefined ? RETRY_MS : ANSWER_TIMEOUT_MS, () => this.cancel(id, queue))
  }

  private drawReady (): SimulatedEntry | undefined {
    const ready = this.opts.entries.filter(entry => entry.ready())
    return ready[this.opts.draw(Math.max(1, ready.length))]
  }

  private accept (job: JobRequest): void {
    if (this.accepted.has(job.id)) return
    this.accepted.add(job.id)
    this.opts.onAccepted(job)
  }
}
