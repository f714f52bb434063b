import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ManualClock } from '@wisteriaslip/testing.stand-ins'
import { DemandEstimator } from '../src/demand-estimator.ts'
import { job, step } from './harness.ts'

/** Steps that keep 12 cores busy for one second: 12,000 in thousandths of a core. */
const steps = [step({ tasks: 6, demand: { cpu: 1_000, memMb: 100, accelerators: 0 } }), step({ tasks: 6, after: [0] })]

function createEstimator () {
  const clock = new ManualClock()
  return { clock, estimator: new DemandEstimator(clock) }
}

test('one second after jobs start to arrive, the steady-state demand is expected rather than the current backlog', () => {
  const { clock, estimator } = createEstimator()
  for (let jobs = 0; jobs < 10; jobs++) {
    estimator.recordJob(job({ steps }), 1)
    clock.advance(100)
  }
  const steadyStateCpu = 10 * 12_000
  assert.ok(estimator.expectedCpu() > 0.85 * steadyStateCpu && estimator.expectedCpu() <= steadyStateCpu)
})

test('a single job gives no expected demand, and two jobs a reduced one', () => {
  const { clock, estimator } = createEstimator()
  estimator.recordJob(job({ steps }), 1)
  assert.equal(estimator.expectedCpu(), 0)
  clock.advance(1_000)
  estimator.recordJob(job({ steps }), 1)
  assert.equal(estimator.expectedCpu(), 12_000)
})

test('no demand is expected once jobs have stopped arriving for the window', () => {
  const { clock, estimator } = createEstimator()
  for (let jobs = 0; jobs < 10; jobs++) estimator.recordJob(job({ steps }), 1)
  clock.advance(1_600)
  assert.equal(estimator.expectedCpu(), 0)
})

test('long-running steps, backfill steps and scheduled jobs do not count as expected demand', () => {
  const { estimator } = createEstimator()
  const request = [step({ lasting: true }), step({ backfill: true })]
  for (let jobs = 0; jobs < 5; jobs++) estimator.recordJob(job({ steps: request }), 1)
  for (let jobs = 0; jobs < 5; jobs++) estimator.recordJob(job({ steps, schedule: { times: 3, firstMs: 0, everyMs: 10 } }), 1)
  assert.equal(estimator.expectedCpu(), 0)
})

test('expected demand uses actual durations where tasks take longer than estimated', () => {
  const { clock, estimator } = createEstimator()
  for (let jobs = 0; jobs < 2; jobs++) estimator.recordJob(job({ steps }), 1.5)
  clock.advance(1_000)
  assert.equal(estimator.expectedCpu(), 18_000)
})
