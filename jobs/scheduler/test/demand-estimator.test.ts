import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ManualClock } from '@wisteriaslip/testing.stand-ins'
import { DemandEstimator } from '../src/demand-estimator.ts'
import { job, step } from './harness.ts'

/** Keeps 12 cores busy for a second: 12,000 in thousandths. */
const steps = [step({ tasks: 6, demand: { cpu: 1_000, memMb: 100, accelerators: 0 } }), step({ tasks: 6, after: [0] })]

function createEstimator () {
  const clock = new ManualClock()
  return { clock, estimator: new DemandEstimator(clock) }
}

test('a queue whose turn begins is given what it will need after a second, not what waits then', () => {
  const { clock, estimator } = createEstimator()
  for (let jobs = 0; jobs < 10; jobs++) {
    estimator.recordJob(job({ steps }), 1)
    clock.advance(100)
  }
  const steadyStateCpu = 10 * 12_000
  assert.ok(estimator.expectedCpu() > 0.85 * steadyStateCpu && estimator.expectedCpu() <= steadyStateCpu)
})

test('one job alone tells nothing about those to come, and two little', () => {
  const { clock, estimator } = createEstimator()
  estimator.recordJob(job({ steps }), 1)
  assert.equal(estimator.expectedCpu(), 0)
  clock.advance(1_000)
  estimator.recordJob(job({ steps }), 1)
  assert.equal(estimator.expectedCpu(), 12_000)
})

test('when a turn is over nothing is expected any more', () => {
  const { clock, estimator } = createEstimator()
  for (let jobs = 0; jobs < 10; jobs++) estimator.recordJob(job({ steps }), 1)
  clock.advance(1_600)
  assert.equal(estimator.expectedCpu(), 0)
})

test('jobs that last, that have a schedule or that use what others leave are not expected again', () => {
  const { estimator } = createEstimator()
  const request = [step({ lasting: true }), step({ backfill: true })]
  for (let jobs = 0; jobs < 5; jobs++) estimator.recordJob(job({ steps: request }), 1)
  for (let jobs = 0; jobs < 5; jobs++) estimator.recordJob(job({ steps, schedule: { times: 3, firstMs: 0, everyMs: 10 } }), 1)
  assert.equal(estimator.expectedCpu(), 0)
})

test('tasks that take longer than estimated count for as long as they take', () => {
  const { clock, estimator } = createEstimator()
  for (let jobs = 0; jobs < 2; jobs++) estimator.recordJob(job({ steps }), 1.5)
  clock.advance(1_000)
  assert.equal(estimator.expectedCpu(), 18_000)
})
