import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import type { Task } from '@wisteriaslip/jobs.scheduler'
import { Site, TAKEOVER_MS } from './runs-model.ts'

const NUM_RUNS = Number(process.env.WISTERIASLIP_RUNS ?? 3_000)
const SEED = Number(process.env.WISTERIASLIP_SEED ?? 20_261_204)
/** Time for some passes, and for one stop whose worker responds. */
const MAX_START_MS = 500
/** A task for which there is capacity must not wait for longer, whatever the reason. */
const MAX_WAIT_MS = 3_000
const CLOCK_SKEW_MS = 1_500
const ROUND_MS = 100
/** All ends of the model can be listed within `MAX_START_MS`. */
const MAX_LISTED_ENDS = 4
const SILENT_WORKER = 'w2'

/** A site whose second worker, the one that restarts, is silent in the end. */
class FaultySite extends Site {
  constructor () {
    super({ confirmationIntervalMs: 1, clockSkewMs: CLOCK_SKEW_MS, mixedJobs: true, maxListedEnds: MAX_LISTED_ENDS })
  }

  override perform (action: number, detail: number, fault: number): void {
    if (action === 11) this.workers.get(`w${1 + detail % 3}`)?.fail()
    else super.perform(action, detail, fault)
  }

  /** Advances the time without faults, but for the silent worker. */
  recover (ms: number): void {
    this.disconnected.clear()
    this.disconnected.add(SILENT_WORKER)
    for (let passedMs = 0; passedMs < ms; passedMs += ROUND_MS) {
      for (const action of [4, 9, 6, 5]) this.perform(action, 0, 0)
    }
  }

  /**
   * @param opts - `suspected`: also tasks that may have crashed their worker, which are started one after the other
   * @returns ready tasks that run nowhere
   */
  tasksNotRunning (opts: { suspected: boolean }): string[] {
    const { table } = this.leader().scheduler
    const found: string[] = []
    for (const tracked of table.jobs.values()) {
      if (tracked.isFinished()) continue
      for (let number = 0; number < tracked.times(); number++) {
        if (tracked.endedOccurrences.has(number) || tracked.dueAt(number) > this.now - CLOCK_SKEW_MS) continue
        for (const step of tracked.openOccurrence(number)?.steps ?? []) {
          if (!step.spec.after.every(before => step.occurrence.steps[before]?.left === 0)) continue
          for (const task of step.tasks) if (!task.done && !this.isRunning(task) && !isHeld(task) && (opts.suspected || task.crashes.length === 0)) found.push(`${task.name}: ${task.runs.map(run => `${run.worker.registration.id}/${run.worker.registration.born} ${run.phase} ${run.stopReason ?? ''}`).join()}`)
        }
      }
    }
    return found
  }

  private isRunning (task: Task): boolean {
    return ['w1', 'w3'].some(id => this.workers.get(id)?.isRunning(task.name))
  }
}

/**
 * Returns whether a start without a response may still reach the next incarnation of a worker that does not respond, or has
 * been confirmed by it.
 */
function isHeld (task: Task): boolean {
  return task.runs.some(run => run.worker.ended || (run.worker.registration.id === SILENT_WORKER && run.worker.registration.born > 1 && (run.phase === 'unsettled' || !run.begunHere)))
}

const actions = fc.array(fc.tuple(fc.integer({ min: 0, max: 11 }), fc.integer({ min: 0, max: 5 }), fc.integer({ min: 0, max: 9 })), { minLength: 20, maxLength: 160 })

// Tasks waited without need, or for ever: behind a silent worker, or in occurrences that a report had opened.
test('once faults are over, each ready task is started within the time of a takeover, although one worker stays silent', () => {
  fc.assert(fc.property(actions, steps => {
    const site = new FaultySite()
    for (const [action, detail, fault] of steps) site.perform(action, detail, fault)
    site.recover(TAKEOVER_MS)
    const waiting = site.tasksNotRunning({ suspected: true })
    site.recover(MAX_START_MS)
    const stillWaiting = site.tasksNotRunning({ suspected: false })
    assert.deepEqual(waiting.filter(task => stillWaiting.includes(task)), [])
    site.recover(MAX_WAIT_MS - MAX_START_MS)
    const waitingTooLong = site.tasksNotRunning({ suspected: true })
    assert.deepEqual(waiting.filter(task => waitingTooLong.includes(task)), [])
  }), { numRuns: NUM_RUNS, seed: SEED })
})
