import assert from 'node:assert/strict'
import { test } from 'node:test'
import { drawWholeDrainDay, playDay, type DayResult, type WholeDrainDay } from '@wisteriaslip/testing.simulation'

const SEED = Number(process.env.WISTERIASLIP_SEED ?? 17)
const NUM_RUNS = Number(process.env.WISTERIASLIP_RUNS ?? 14)
/** A drain that cannot end gives way after 6 s; passes of two leaders, and starts, come on top. */
const MAX_START_MS = 8_000

const played: Array<{ readonly day: WholeDrainDay, readonly result: DayResult }> = []
for (let seed = SEED; seed < SEED + NUM_RUNS; seed++) {
  const day = drawWholeDrainDay(seed)
  played.push({ day, result: await playDay(day) })
}

// A wave drained all VMs of a service whose long-running tasks fitted nowhere else: no drain ended, and nothing else was started.
test('tasks that end by themselves begin although all VMs of their service are to be drained', () => {
  const late = played.filter(({ result }) => result.longestStartMs > MAX_START_MS).map(({ day, result }) => ({ seed: day.seed, vms: day.drained, fits: day.fits, longestStartMs: Math.round(result.longestStartMs) }))
  assert.deepEqual(late, [])
})

// With all VMs of the service drained at once, no long-running task had a place to move to.
test('all VMs of a service are maintained if its long-running tasks fit on the others', () => {
  const unfinished = played.filter(({ day, result }) => day.fits && result.maintained.get(1) !== day.drained).map(({ day, result }) => ({ seed: day.seed, vms: day.drained, maintained: result.maintained.get(1) ?? 0 }))
  assert.deepEqual(unfinished, [])
})

// Guards against: a drain that gives way or comes back loses a long-running task, or runs one twice.
test('drains that give way lose no long-running task, and none runs twice', () => {
  assert.deepEqual(played.flatMap(({ day, result }) => [...result.lost.map(({ task }) => `${day.seed}: ${task}`), ...result.violations]), [])
})
