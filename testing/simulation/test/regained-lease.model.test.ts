import assert from 'node:assert/strict'
import { test } from 'node:test'
import { drawRegainDay, playDay } from '@wisteriaslip/testing.simulation'

const SEEDS = [5, 8, 9, 12, 14, 17, 23, 59]

const violations: string[] = []
for (const seed of SEEDS) violations.push(...(await playDay(drawRegainDay(seed))).violations)

// An entry with a new lease took itself for the fleet's leader under a token of the lease before, while its watch lagged.
test('an entry that has got a new lease orders no VM under a token of an earlier lease', () => {
  assert.deepEqual(violations, [])
})
