import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Metrics } from '@wisteriaslip/core.metrics'

test('a bounded label keeps the first values and gives the others one name', () => {
  const metrics = new Metrics()
  assert.deepEqual(['a', 'b', 'c', 'a', 'c'].map(value => metrics.boundedValue('account', value, 2)), ['a', 'b', 'other', 'a', 'other'])
  assert.equal(metrics.boundedValue('queue', 'c', 2), 'c')
})
