import assert from 'node:assert/strict'
import { test } from 'node:test'
import { findGaps, longestGap, type RunRecord, type SubmittedJob, type TermRecord } from '../src/index.ts'

const plan = { cpu: 100, memMb: 10, runMs: 0, failShare: 0 }
const JOB: SubmittedJob = { id: '00000000000000aa', plan, tasks: 1, service: 'work', accepted: true, acceptedAt: 1_000, refused: false, cancelled: false, state: 'running' }
const UNTIL = 60_000

function run (startedAt: number, endedAt?: number): RunRecord {
  return { task: `${JOB.id}.0.0.0`, attempt: 1, spec: JSON.stringify(plan), worker: 'w1', born: 1, entry: 0, token: 5, startedAt, ...(endedAt === undefined ? {} : { endedAt }) }
}

function term (startedAt: number, resource = 'service/work'): TermRecord {
  return { resource, token: startedAt, startedAt }
}

function gaps (runs: RunRecord[], { terms = [], ...overrides }: Partial<SubmittedJob> & { terms?: TermRecord[] } = {}): number[][] {
  return findGaps({ jobs: [{ ...JOB, ...overrides }], runs, terms, until: UNTIL }).map(({ from, to, terms: count }) => [from, to, count])
}

test('a gap lasts from the acceptance or the last end of a run to the next start, in whatever order runs were recorded', () => {
  assert.deepEqual(gaps([run(30_000), run(2_000, 10_000)]), [[1_000, 2_000, 0], [10_000, 30_000, 0]])
  assert.deepEqual(gaps([run(2_000, 10_000)]), [[1_000, 2_000, 0], [10_000, UNTIL, 0]])
  assert.deepEqual(gaps([]), [[1_000, UNTIL, 0]])
})

test('a run that overlaps an earlier one leaves no gap while either goes on', () => {
  assert.deepEqual(gaps([run(1_000, 20_000), run(5_000, 10_000), run(25_000)]), [[20_000, 25_000, 0]])
})

test('a gap ends when its job is cancelled', () => {
  assert.deepEqual(gaps([run(1_000, 10_000), run(30_000, 40_000)], { cancelSentAt: 20_000 }), [[10_000, 20_000, 0]])
})

test('a gap counts the terms of its own service that begin in it', () => {
  const terms = [term(500), term(10_000), term(10_500), term(30_000), term(31_000), term(12_000, 'service/index')]
  assert.deepEqual(gaps([run(1_000, 10_000), run(30_000)], { terms }), [[10_000, 30_000, 2]])
})

test('the longest gap is one between two runs, not the wait for the first', () => {
  const found = findGaps({ jobs: [JOB], runs: [run(20_000, 30_000), run(32_000, 40_000), run(41_000)], terms: [], until: UNTIL })
  assert.deepEqual([longestGap(found)?.from, longestGap(found)?.to], [30_000, 32_000])
  assert.equal(longestGap(found.slice(0, 1)), undefined)
})

test('only tasks that last and were accepted have gaps', () => {
  assert.deepEqual(gaps([], { plan: { ...plan, runMs: 100 } }), [])
  const { acceptedAt: _acceptedAt, ...notAccepted } = JOB
  assert.deepEqual(findGaps({ jobs: [notAccepted], runs: [], terms: [], until: UNTIL }), [])
})
