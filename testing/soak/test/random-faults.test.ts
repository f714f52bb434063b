import assert from 'node:assert/strict'
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { play, randomFaults } from '../src/index.ts'

const SEED = 5

test('random faults with planned work, then a calm time, break no promise, entries as processes', { timeout: 120_000 }, async t => {
  const folder = await mkdtemp(join(tmpdir(), 'wisteriaslip-faults-'))
  const { violations, runs, calmMs, report } = await play(randomFaults(SEED, { forMs: 3_000, calms: 1, calmMs: 8_000 }), { seed: SEED, folder, binary: undefined, signal: t.signal })
  assert.ok(runs.length > 0)
  t.diagnostic(`calm for ${calmMs} ms`)
  assert.deepEqual(violations.map(({ rule, task }) => `${rule}: ${task}`), [], `${folder}\n${report}`)
  await rm(folder, { recursive: true })
})
