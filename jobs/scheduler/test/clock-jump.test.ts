import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { JobLimits } from '@wisteriaslip/jobs.model'
import { Scheduler } from '@wisteriaslip/jobs.scheduler'
import { ended, job, limits, running, step, worker } from './harness.ts'

/** A scheduler whose time of day jumps, while its monotonic clock does not. */
class JumpingClock {
  now = 10_000
  timeOfDay = 1_000_000
  readonly scheduler: Scheduler

  constructor (overrides: Partial<JobLimits> = {}) {
    this.scheduler = new Scheduler({ clock: { now: () => this.now }, wallClock: () => this.timeOfDay, limits: { ...limits, ...overrides }, queue: () => undefined, term: 0, leadershipConfirmedAt: () => Infinity, maxEarlierLeaseMs: 0 })
    this.scheduler.setWorkers([worker('w1')], { unknownRunsUntil: 0 })
    this.report({})
  }

  report (lists: { running?: Array<ReturnType<typeof running>>, ended?: Array<ReturnType<typeof ended>> }): void {
    const tracked = this.scheduler.workers.get('w1')
    assert.ok(tracked !== undefined)
    this.scheduler.applyReport(tracked, { moreEnded: false, clockMs: this.now, born: 1, running: lists.running ?? [], ended: lists.ended ?? [] }, { sentAt: this.now, receivedAt: this.now })
    tracked.extendLease(this.now, 4_000)
  }

  startAll (): string[] {
    this.scheduler.tick()
    const runs = this.scheduler.placeReadyTasks()
    for (const run of runs) this.scheduler.handleStartResponse(run, undefined, { clockMs: this.now, sentAt: this.now })
    return runs.map(run => run.task.name)
  }
}

test('a jump of the time of day ends no lease, and neither stops nor repeats a run', () => {
  for (const jumpMs of [-3_600_000, 3_600_000]) {
    const site = new JumpingClock()
    site.scheduler.table.addJob(job(), { acceptedThisTerm: true })
    const [task] = site.startAll()
    assert.ok(task !== undefined)
    site.timeOfDay += jumpMs
    site.now += 500
    site.report({ running: [running(task, 1)] })
    assert.deepEqual(site.startAll(), [])
    assert.deepEqual(site.scheduler.collectDueStops(), [])
  }
})

test('an occurrence that a clock ahead started early is not started again when the clock has jumped back', () => {
  const site = new JumpingClock()
  site.scheduler.table.addJob(job({ steps: [step()], schedule: { times: 2, firstMs: site.timeOfDay + 2_000, everyMs: 60_000 } }), { acceptedThisTerm: true })
  assert.deepEqual(site.startAll(), [])
  site.timeOfDay += 2_400
  const [early] = site.startAll()
  assert.ok(early !== undefined)
  site.timeOfDay -= 2_400
  site.now += 100
  site.report({ ended: [ended(1, early, 1)] })
  site.timeOfDay += 2_400
  assert.deepEqual(site.startAll(), [])
  site.timeOfDay += 60_000
  assert.equal(site.startAll().length, 1)
})
