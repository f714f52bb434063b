import assert from 'node:assert/strict'
import { test } from 'node:test'
import { SchedulerHarness, step } from './harness.ts'

test('a recurring job in a small pool: the first steps of an occurrence count as demand before it is due', () => {
  const harness = new SchedulerHarness()
  const steps = [step({ tasks: 8, demand: { cpu: 500, memMb: 10, accelerators: 0 } }), step({ tasks: 4, after: [0] })]
  harness.addJob({ steps, schedule: { times: 3, firstMs: harness.now + 5_000, everyMs: 4_500 } })
  const { table } = harness.scheduler
  assert.equal(table.dueSoon(2_500).cpu, 0)
  harness.now += 2_600
  assert.deepEqual(table.dueSoon(2_500), { cpu: 4_000, memMb: 80, accelerators: 0 })
  harness.now += 2_400
  harness.scheduler.tick()
  assert.equal(table.waiting().cpu, 4_000)
  assert.equal(table.dueSoon(2_500).cpu, 0)
})
