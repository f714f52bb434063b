import { describeUnserved, findHolds, findUnserved, keyOf, type HoldOpts, type Scheduler, type Task } from '@wisteriaslip/jobs.scheduler'
import { OverdueHolds } from './overdue-holds.ts'
import type { ServiceTermOpts } from './ports.ts'

const CHECK_INTERVAL_MS = 1_000
/** A long-running task that is without a run for longer is logged: a start, and the proof that its worker has ended, take less. */
const MIN_UNSERVED_MS = 2_000
const MAX_LISTED_TASKS = 10

/**
 * Logs once a second which long-running tasks have been without a run for long, and what keeps each from running, and once what keeps
 * them for longer than it may.
 */
export class UnservedMonitor {
  private readonly opts: ServiceTermOpts
  private readonly overdue: OverdueHolds
  /** When a check first found each task without a run, by the injected clock. */
  private since = new Map<Task, number>()
  private checkedAt = Number.NEGATIVE_INFINITY

  /** @param opts - options of the term */
  constructor (opts: ServiceTermOpts) {
    this.opts = opts
    this.overdue = new OverdueHolds(opts)
  }

  /**
   * Checks the tasks, at most once a second.
   * @param scheduler - scheduler of the term
   * @param pass - `mayAct`: leadership is confirmed; `freeStarts`: how many starts may be sent now
   */
  observe (scheduler: Scheduler, pass: { mayAct: boolean, freeStarts: number }): void {
    const { service, token, clock, logger, queue } = this.opts
    const now = clock.now()
    if (now - this.checkedAt < CHECK_INTERVAL_MS) return
    this.checkedAt = now
    this.since = new Map(findUnserved(scheduler).map(task => [task, this.since.get(task) ?? now]))
    const unserved = [...this.since].filter(([, since]) => now - since >= MIN_UNSERVED_MS)
    const longest = unserved.sort(([, a], [, b]) => a - b).slice(0, MAX_LISTED_TASKS)
    this.observeHolds(scheduler, longest.map(([task]) => task), { queue, now, pass })
    if (longest.length === 0) return
    const tasks = longest.map(([task, since]) => ({ forMs: Math.round(now - since), ...describeUnserved(scheduler, task, { queue, now, pass }) }))
    logger.info({ service, token, unserved: unserved.length, ...pass, tasks }, 'long-running tasks are without a run')
  }

  private observeHolds (scheduler: Scheduler, tasks: readonly Task[], opts: HoldOpts): void {
    const found = tasks.flatMap(task => findHolds(scheduler, task, opts))
    scheduler.holdAges.observe(found.map(keyOf), opts.now)
    this.overdue.observe(found)
  }
}
