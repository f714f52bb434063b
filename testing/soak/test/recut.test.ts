import assert from 'node:assert/strict'
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { play, recut } from '../src/index.ts'

const SEED = 61
/** The connections of before stay silent until a start is sent over a new one, and the leader is killed before it can record what the response shows. */
const TIMES = { isSilent: true, pauseMs: 100, killLagMs: 1_200, startLagMs: 30, cutLagMs: 300, cutMs: 9_800 }

// Tasks ran twice: a start that was meant for the incarnation before reached the next one, over a new connection, and gave it the longest
// lease; the leader was lost, the worker cut off, and the successor waited only for the leases that leaders grant.
test('workers that return under their ids and are cut off run no task that their next leader starts, entries as processes', { timeout: 120_000 }, async t => {
  const folder = await mkdtemp(join(tmpdir(), 'wisteriaslip-recut-'))
  const { violations, runs, report } = await play(recut(SEED, { rounds: 1, times: TIMES, mustFinish: false }), { seed: SEED, folder, binary: undefined, signal: t.signal })
  assert.ok(runs.length > 0)
  assert.deepEqual(violations.map(({ rule, task }) => `${rule}: ${task}`), [], `${folder}\n${report}`)
  await rm(folder, { recursive: true })
})
