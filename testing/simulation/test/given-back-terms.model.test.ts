import assert from 'node:assert/strict'
import { test } from 'node:test'
import { playDay, type Day, type DayEvent } from '../src/index.ts'
import { jobId } from '../src/site-jobs.ts'

// Since when a drain has come no closer to its end is known to one leader of the fleet only.
for (const everyMs of [5_000, 6_000, 60_000]) {
  test(`a drain that cannot end gives way although the fleet's leader changes (each ${everyMs} ms)`, async () => {
    const kills = Array.from({ length: Math.floor(40_000 / everyMs) }, (_, number): DayEvent => ({ kind: 'kill', atMs: 7_000 + number * everyMs, forMs: 300, who: { leaderOf: 'fleet' } }))
    const day: Day = {
      seed: 1,
      entries: 4,
      pools: [{ name: 'alpha', vms: 1 }, { name: 'beta', vms: 2 }, { name: 'spare', vms: 0, standby: true }],
      events: [
        { kind: 'submit' as const, atMs: 1_500, jobs: [jobId({ service: 'alpha', tasks: 3, cpu: 2_400, runMs: Infinity }, 1), jobId({ service: 'beta', tasks: 2, cpu: 5_500, runMs: Infinity }, 2)] },
        { kind: 'wave' as const, atMs: 6_000, vms: [0], durationMs: 15_000, cap: 1 },
        ...kills,
        ...Array.from({ length: 16 }, (_, number) => ({ kind: 'submit' as const, atMs: 5_000 + number * 1_500, jobs: [jobId({ service: 'alpha', tasks: 1, cpu: 100, runMs: 500 }, 4 + number)] }))
      ].sort((a, b) => a.atMs - b.atMs),
      endMs: 50_000
    }
    const { longestStartMs, violations } = await playDay(day)
    assert.deepEqual(violations, [])
    assert.ok(longestStartMs <= 12_000, `${Math.round(longestStartMs)} ms`)
  })
}
