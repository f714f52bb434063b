import assert from 'node:assert/strict'
import { test } from 'node:test'
import { delay } from '@wisteriaslip/core.result'
import { JobKeys } from '@wisteriaslip/jobs.store'
import { JobProcesses, plainStep, untilState, waitUntil, withSite, type JobSite } from '@wisteriaslip/testing.jobs'

const ID = '00000000000000aa'
const KEYS = new JobKeys('w')
const demand = { cpu: 1_000, memMb: 100, accelerators: 0 }
/** A leader watches the store: it would have begun the job by then. */
const BEGIN_MS = 500

async function isStored (site: JobSite, service = 's'): Promise<boolean> {
  const range = await site.driver.range(KEYS.job(service, ID), {})
  assert.ok(range.ok)
  return range.value.kvs.length > 0
}

// The other entry knew of no write, stored nothing and answered "no such job"; the write was carried out later, and the job ran.
test('a late write of a job that another entry has cancelled does not store it', async () => {
  await withSite(async site => {
    await site.elect()
    site.submitFaults.push('late', 'late', 'late', 'late')
    const req = site.request(ID, [plainStep({ estimateMs: 0 })])
    assert.deepEqual(await site.intake.submit(req), { kind: 'unknown' })
    assert.equal(await site.newIntake().cancel(site.queue, ID), 'none')
    for (const late of site.lateWrites) assert.deepEqual(await site.driver.txn(late).then(reply => reply.ok && reply.value.succeeded), false)
    assert.equal(site.lateWrites.length, 4)
    await delay(BEGIN_MS, new AbortController().signal)
    assert.equal(site.workers.recordedRuns.length, 0)
    for (const intake of [site.intake, site.newIntake()]) {
      await waitUntil('the store is reached again, and the job refused', async () => (await intake.submit(req)).kind === 'refused')
      assert.equal(await intake.state(site.queue, ID), 'none')
    }
  })
})

// An entry that was paused read the request after another one had answered the cancellation with "no such job", and the job ran.
test('a request that an entry reads after the cancellation of its id is refused, also after a change of leader and a move of the queue', async () => {
  await withSite(async site => {
    await site.elect()
    const moved = { ...site.queue, service: 't' }
    assert.equal(await site.newIntake().cancel(moved, ID), 'none')
    await site.elect()
    const submitted = await site.newIntake().submit(site.request(ID, [plainStep({ estimateMs: 0 })]))
    assert.equal(submitted.kind, 'refused')
    assert.ok(submitted.kind === 'refused' && submitted.retryAfterS > 60, 'the caller is told when the id is free again')
    assert.equal(await isStored(site), false)
    assert.equal(await site.newIntake().cancel(site.queue, ID), 'none')
  })
})

test('a job that is stored while its cancellation looks for it is cancelled', async () => {
  await withSite(async site => {
    await site.elect()
    site.plan = () => ({ runMs: 600_000 })
    const req = site.request(ID, [plainStep({ estimateMs: 0 })])
    const txn = site.driver.txn.bind(site.driver)
    let isFirst = true
    site.driver.txn = async call => {
      const isOfId = call.puts.some(({ key }) => key === KEYS.indexEntry(req.address, ID))
      if (isOfId && isFirst) {
        isFirst = false
        assert.deepEqual(await site.newIntake().submit(req), { kind: 'accepted' })
      }
      return await txn(call)
    }
    assert.equal(await site.intake.cancel(site.queue, ID), 'cancelled')
    await untilState(site, ID, 'cancelled')
    await waitUntil('nothing runs', () => site.workers.recordedRuns.every(run => run.endedAt !== undefined))
  })
})

test('what another account cancels is not refused, and its own submissions are', async () => {
  await withSite(async site => {
    await site.elect()
    assert.equal(await site.newIntake().cancel(site.queue, ID, 'b'), 'none')
    const submit = async (account: string) => await site.newIntake().submit(site.request(ID, [plainStep({ estimateMs: 0 })], { account }))
    assert.equal((await submit('b')).kind, 'refused')
    assert.deepEqual(await submit('a'), { kind: 'accepted' })
    assert.equal((await submit('b')).kind, 'taken')
    await waitUntil('the job is completed', async () => await site.newIntake().state(site.queue, ID, 'a') === 'completed')
  })
})

test('an id that two accounts have cancelled is refused to both', async () => {
  await withSite(async site => {
    await site.elect()
    for (const account of ['b', 'a']) assert.equal(await site.newIntake().cancel(site.queue, ID, account), 'none')
    for (const account of ['a', 'b']) {
      const submitted = await site.newIntake().submit(site.request(ID, [plainStep({ estimateMs: 0 })], { account }))
      assert.equal(submitted.kind, 'refused')
    }
    assert.equal(await isStored(site), false)
  })
})

// Entries of the version before do not read the tombstone.
test('a job that the version before stores after its cancellation is cancelled by the leader', async () => {
  await withSite(async site => {
    site.plan = () => ({ runMs: 600_000 })
    await site.elect()
    assert.equal(await site.newIntake().cancel(site.queue, ID), 'none')
    const { address: _, ...record } = { ...site.request(ID, [plainStep({ estimateMs: 0 })]), acceptedUnder: 0 }
    await site.driver.txn({ guards: [], puts: [{ key: KEYS.job('s', ID), value: JSON.stringify({ value: record, writes: ['earlier'] }) }], deletes: [] })
    await waitUntil('it is cancelled', async () => await site.newIntake().state(site.queue, ID) === 'cancelled')
    await waitUntil('nothing runs', () => site.workers.recordedRuns.every(run => run.endedAt !== undefined))
  })
})

// As above, with entries as processes, one of which is paused with the request in its socket.
test('a job that was cancelled while its entry was paused does not run', async () => {
  const site = await JobProcesses.start({ entries: 3, plan: () => ({ runMs: 600_000, how: 'done', demand, members: 1 }) })
  try {
    const leader = await site.findLeader('quoting')
    const [paused = 0, other = 0] = [0, 1, 2].filter(entry => entry !== leader)
    site.entries[paused]?.process.child.kill('SIGSTOP')
    const answer = site.call(paused, 'POST', '/v1/jobs', { id: 'j-1', queue: 'quotes', steps: [{ tasks: 2, demand, estimateMs: 0, lasting: true }] })
    await delay(BEGIN_MS, new AbortController().signal)
    assert.equal((await site.call(other, 'DELETE', '/v1/jobs/quotes/j-1'))?.status, 410)
    site.entries[paused]?.process.child.kill('SIGCONT')
    assert.equal((await answer)?.status, 503)
    await delay(2 * BEGIN_MS, new AbortController().signal)
    for (const entry of site.entries.keys()) assert.equal((await site.call(entry, 'GET', '/v1/jobs/quotes/j-1'))?.status, 410)
    assert.equal(site.hosts.workers.recordedRuns.length, 0)
  } finally {
    await site.stop()
  }
})
