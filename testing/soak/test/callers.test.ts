import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { Addresses, ports } from '../src/addresses.ts'
import { Callers, type SubmittedJob } from '../src/callers.ts'
import type { EntryProcess } from '../src/entry-process.ts'
import { closeServer, createJsonServer, listen } from '../src/http.ts'
import type { RunLog } from '../src/run-log.ts'

const NOW_MS = 60_000
const JOB: SubmittedJob = { id: '00000000000000aa', plan: { cpu: 1, memMb: 1, runMs: 0, failShare: 0 }, tasks: 1, service: 'work', accepted: true, acceptedAt: 0, refused: false, cancelled: false, state: undefined }

/** Callers of an entry that gives the answers one by one, a state or a status, and the last one from then on. */
async function startCallers (t: TestContext, answers: ReadonlyArray<string | number>): Promise<Callers> {
  const addresses = await Addresses.take()
  const left = [...answers]
  const server = createJsonServer(() => {
    const answer = (left.length > 1 ? left.shift() : left[0]) ?? 503
    return typeof answer === 'number' ? { status: answer } : { status: 200, body: { state: answer } }
  })
  const ip = addresses.ip(addresses.hosts.entry(0))
  await listen(server, ports.callers, ip)
  t.after(() => {
    closeServer(server)
    addresses.release()
  })
  return new Callers({ entries: [{ ip } as EntryProcess], queues: [{ name: 'work', service: 'work', path: '/work/' }], log: { now: () => NOW_MS } as RunLog }, () => 0)
}

/** Asks for a job at the end of a play. */
async function ask (t: TestContext, answers: ReadonlyArray<string | number>, overrides: Partial<SubmittedJob> = {}): Promise<string | undefined> {
  const callers = await startCallers(t, answers)
  const job = { ...JOB, ...overrides }
  await callers.ask(job)
  return job.state
}

// Guards against: jobs that last were not asked about at the end of a play, and of others an earlier answer counted.
test('a job without an answer, or that is not known, at the end of a play has no earlier state', async t => {
  assert.equal(await ask(t, [503], { state: 'running' }), undefined)
  assert.equal(await ask(t, [410], { state: 'running' }), 'none')
  assert.equal(await ask(t, ['running'], { state: undefined }), 'running')
  assert.equal(await ask(t, ['running'], { state: undefined, plan: { ...JOB.plan, runMs: 100 } }), undefined)
})

test('an answer at a later try counts, but not after one by which the job is not known', async t => {
  assert.equal(await ask(t, [503, 503, 'running'], { state: 'queued' }), 'running')
  assert.equal(await ask(t, ['running'], { state: 'none' }), 'none')
  const callers = await startCallers(t, [410, 'running'])
  const job = { ...JOB }
  for (let query = 0; query < 2; query++) await callers.query(job)
  assert.equal(job.state, 'none')
})

test('a job need not be known everywhere just after its acceptance', async t => {
  assert.equal(await ask(t, [410, 'queued'], { acceptedAt: NOW_MS - 2_900 }), 'queued')
  assert.equal(await ask(t, [410, 'queued'], { acceptedAt: NOW_MS - 3_100 }), 'none')
})

test('a job that was shown as ended must be so for as long as it is kept', async t => {
  assert.equal(await ask(t, ['completed'], { state: 'completed' }), 'completed')
  assert.equal(await ask(t, ['running'], { state: 'completed' }), 'completed, then running')
  assert.equal(await ask(t, [410], { state: 'failed' }), 'failed, then none')
  assert.equal(await ask(t, [410], { state: 'completed', acceptedAt: NOW_MS - 120_100 }), 'completed')
})
