import assert from 'node:assert/strict'
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test, type TestContext } from 'node:test'
import { play, replacedUnnoticed, type ReplacedOpts } from '../src/index.ts'

/** Plays the scenario and asserts that no promise was broken; the logs stay if one was. */
async function assertKept (t: TestContext, opts: ReplacedOpts): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), 'wisteriaslip-replaced-'))
  const { violations, runs, report } = await play(replacedUnnoticed(opts), { seed: 1, folder, binary: undefined, signal: t.signal })
  assert.ok(runs.length > 0)
  assert.deepEqual(violations.map(({ rule, task }) => `${rule}: ${task}`), [], `${folder}\n${report}`)
  await rm(folder, { recursive: true })
}

// Tasks ran twice: a leader without store and peers led on after it was replaced, took a worker that its successor kept for
// lost, and started the worker's tasks on another one, which the successor did not reach.
test('a leader that is replaced while it is cut off starts no task that its successor has, entries as processes', { timeout: 60_000 }, async t => {
  await assertKept(t, { calmMs: 3_000, cutMs: 7_000 })
})

// The same with a peer that is cut off together with the leader: both are a majority, which confirmed the leader.
test('a leader that is replaced while it is cut off with a majority starts no task that its successor has, entries as processes', { timeout: 60_000 }, async t => {
  await assertKept(t, { calmMs: 3_000, cutMs: 7_000, companions: 1 })
})

// The same, and the successor's record had lapsed before the cut: the leader asked all members that it knew, which were cut off, too.
test('a leader that is cut off before its successor registers again starts no task that its successor has, entries as processes', { timeout: 60_000 }, async t => {
  await assertKept(t, { calmMs: 3_000, cutMs: 9_000, companions: 1, othersLapsed: true })
})
