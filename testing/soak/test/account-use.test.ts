import assert from 'node:assert/strict'
import { test } from 'node:test'
import { checkRuns, checkWaits, type RunRecord, type Seen, type SubmittedJob } from '../src/index.ts'

const ACCOUNT = { name: 'press', key: 'k', quota: { cpu: 1_000, memMb: 100 } }
const plan = { cpu: 400, memMb: 10, runMs: 0, failShare: 0 }
const ids = ['00000000000000aa', '00000000000000bb', '00000000000000cc'] as const

function job (id: string, overrides: Partial<SubmittedJob> = {}): SubmittedJob {
  return { id, plan, tasks: 1, service: 'work', account: ACCOUNT, accepted: true, acceptedAt: 0, refused: false, cancelled: false, state: 'running', ...overrides }
}

function run (id: string, startedAt: number, overrides: Partial<RunRecord> = {}): RunRecord {
  return { task: `${id}.0.0.0`, attempt: 1, spec: JSON.stringify(plan), worker: 'w1', born: 1, entry: 0, token: 5, startedAt, ...overrides }
}

function rules (runs: RunRecord[], jobs: SubmittedJob[]): string[] {
  return checkRuns(runs, jobs, 3).map(({ rule, task }) => `${rule} ${task.slice(14, 16)}`)
}

test('a start that brings an account over its quota is found, on whatever workers and by whatever jobs', () => {
  const jobs = ids.map(id => job(id))
  assert.deepEqual(rules([run(ids[0], 0), run(ids[1], 100)], jobs), [])
  assert.deepEqual(rules([run(ids[0], 0), run(ids[1], 100), run(ids[2], 200, { worker: 'w2' })], jobs), ['over quota cc'])
  assert.deepEqual(rules([run(ids[0], 0, { endedAt: 200 }), run(ids[1], 100), run(ids[2], 200)], jobs), [])
  assert.deepEqual(rules([run(ids[0], 0), run(ids[1], 100), run(ids[2], 200)], [...jobs.slice(0, 2), job(ids[2], { account: { ...ACCOUNT, name: 'other' } })]), [])
  assert.deepEqual(rules([run(ids[0], 0)], [job(ids[0], { account: { ...ACCOUNT, quota: { cpu: 1_000, memMb: 9 } } })]), ['over quota aa'])
})

/** The first job has a run, the second one never has. */
function waits (quota: number, runs: RunRecord[]): number {
  const jobs = ids.slice(0, 2).map(id => job(id, { account: { ...ACCOUNT, quota: { cpu: quota, memMb: 100 } } }))
  const lives = [{ worker: 'w1', born: 1, service: 'work', capacity: { cpu: 4_000, memMb: 4_000 }, startedAt: 0 }]
  const seen: Seen = { runs, jobs, lives, disturbances: [], terms: [], quietFrom: 0, until: 10_000 }
  return checkWaits(seen).length
}

test('a task that lasts may wait while the quota of its account has no room for it twice over', () => {
  assert.equal(waits(1_200, [run(ids[0], 0)]), 1)
  assert.equal(waits(1_199, [run(ids[0], 0)]), 0)
  assert.equal(waits(1_199, [run(ids[0], 0, { endedAt: 500 })]), 2)
})
