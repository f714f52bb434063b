import assert from 'node:assert/strict'
import { test } from 'node:test'
import { playDay, type Day } from '../src/index.ts'
import { jobId } from '../src/site-jobs.ts'

/** Time in which work that comes last has to be begun, as the users ask for it. */
const MAX_START_MS = 14_000

// Two long-running tasks fill the memory of two workers, one of another job is on each of three: the drain of the third could not end.
for (const vm of [0, 1, 2, undefined]) {
  test(`tasks that end by themselves begin although the only worker with memory for them is drained and two others are open (VM ${vm ?? 'none, for comparison'})`, async () => {
    const day: Day = {
      seed: 1,
      entries: 3,
      pools: [{ name: 'alpha', vms: 3 }, { name: 'beta', vms: 2 }, { name: 'spare', vms: 0, standby: true }],
      events: [
        { kind: 'submit', atMs: 1_500, jobs: [jobId({ service: 'alpha', tasks: 2, cpu: 300, memMb: 60_000, perWorker: 1, runMs: Infinity }, 1), jobId({ service: 'alpha', tasks: 3, cpu: 300, memMb: 1_000, perWorker: 1, runMs: Infinity }, 2), jobId({ service: 'beta', tasks: 2, cpu: 5_500, runMs: Infinity }, 3)] },
        ...(vm === undefined ? [] : [{ kind: 'wave' as const, atMs: 6_000, vms: [vm], durationMs: 15_000, cap: 1 }]),
        ...Array.from({ length: 16 }, (_, number) => ({ kind: 'submit' as const, atMs: 5_000 + number * 1_500, jobs: [jobId({ service: 'alpha', tasks: 1, cpu: 100, memMb: 6_000, runMs: 500 }, 4 + number)] }))
      ],
      endMs: 46_000
    }
    const { longestStartMs } = await playDay(day)
    assert.ok(longestStartMs <= MAX_START_MS, `${Math.round(longestStartMs)} ms`)
  })
}
