import assert from 'node:assert/strict'
import { test } from 'node:test'
import { longestMsOf, toProgress, type TrackedJob } from '@wisteriaslip/jobs.scheduler'
import { limits, running, SchedulerHarness, step, worker } from './harness.ts'

const TASKS = 12
const PASS_MS = 100
const TERM_MS = 1_500
const TERMS = 4
const LONGEST_MS = longestMsOf('SUSPECTED_OF_CRASHES', { times: { longestLeaseMs: limits.longestLeaseMs, maxEarlierLeaseMs: limits.longestLeaseMs }, isLasting: true }) ?? NaN
const demand = { cpu: 300, memMb: 100, accelerators: 0 }
const crashes = ['a', 'b'].map(id => ({ worker: `${id}@1`, survivedMs: 500 }))

function createTerm (term: number, now: number, before?: TrackedJob): { harness: SchedulerHarness, job: TrackedJob } {
  const harness = new SchedulerHarness({ term })
  harness.now = now
  const { id } = before?.job ?? harness.addJob({ steps: [step({ lasting: true, tasks: TASKS, demand })] }, { acceptedThisTerm: false })
  if (before !== undefined) harness.scheduler.table.addJob(before.job, { acceptedThisTerm: false, progress: toProgress(before) })
  harness.scheduler.setWorkers([worker('w1')], { unknownRunsUntil: now })
  return { harness, job: harness.scheduler.table.jobs.get(id) ?? assert.fail('no job') }
}

// Whether tasks under which workers have crashed wait anew for each other with each leader, and for how long, was not tried.
test('suspected tasks run in their time after the last of several changes of leader, and those that run stay', () => {
  let { harness, job } = createTerm(1, 10_000)
  const tasksOf = (tracked: TrackedJob) => tracked.occurrences.get(0)?.steps[0] ?? assert.fail('no step')
  for (const task of tasksOf(job).tasks) task.crashes = crashes
  tasksOf(job).suspects = TASKS
  const started = new Map<string, number>()
  const play = (ms: number): void => {
    for (const until = harness.now + ms; harness.now < until; harness.now += PASS_MS) {
      harness.report('w1', { running: [...started].map(([task, attempt]) => running(task, attempt, 1)) })
      for (const run of harness.startReadyTasks()) {
        assert.ok(!started.has(run.task.name), `${run.task.name} is started twice`)
        started.set(run.task.name, run.attempt)
      }
    }
  }
  for (let term = 2; term <= TERMS; term++) {
    play(TERM_MS)
    ;({ harness, job } = createTerm(term, harness.now, job))
  }
  assert.ok(started.size < TASKS, 'some wait for the last change of leader')
  play(LONGEST_MS + 2 * PASS_MS)
  assert.equal(started.size, TASKS)
})
