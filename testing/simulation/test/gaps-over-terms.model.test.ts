import assert from 'node:assert/strict'
import { test } from 'node:test'
import { drawAccountDay, drawHandoverDay, drawLongTermsDay, drawOutageDay, drawPowerLossDay, playScenarios } from '@wisteriaslip/testing.simulation'

// Played before the first test begins, as promises cost three times as much inside of a test.
const broken = await playScenarios({
  kinds: { power: drawPowerLossDay, handover: drawHandoverDay, terms: drawLongTermsDay, account: drawAccountDay, outage: drawOutageDay },
  seed: Number(process.env.WISTERIASLIP_SEED ?? 20_261_208),
  runs: Number(process.env.WISTERIASLIP_RUNS ?? 8),
  only: process.env.WISTERIASLIP_SCENARIO
})

// A long-running task had no run for 20 s, over two changes of leader.
test('a long-running task with room for it is not lost, however many leaders end in sequence', () => {
  assert.deepEqual(broken.lost, [])
})

// A leader took over from one that had ended, and started what still ran elsewhere.
test('no task runs twice while leaders end in sequence', () => {
  assert.deepEqual(broken.violations, [])
})

// The users' rule excuses changes of leader, this bound does not: one whole wait for a silent worker, and for each change an election
// (lease, start, rank) and a proof by lists, all of them constants of the code. Guards against waits that begin anew with each leader.
test('the time without a run does not grow by more than elections and proofs with each change of leader', () => {
  assert.deepEqual(broken.room, [])
})

// Leaders that followed each other each waited for what the one before had found out.
test('leaders at work need no more than one whole wait together, and a proof for each change', () => {
  assert.deepEqual(broken.led, [])
})
