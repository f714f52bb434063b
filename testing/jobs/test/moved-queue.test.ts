import assert from 'node:assert/strict'
import { test } from 'node:test'
import { JobKeys } from '@wisteriaslip/jobs.store'
import { JobProcesses, plainStep, untilState, waitUntil, withSite, type JobSite } from '@wisteriaslip/testing.jobs'

const ID = '00000000000000aa'
const KEYS = new JobKeys('w')
const demand = { cpu: 1_000, memMb: 100, accelerators: 0 }

/** The site's queue as a later configuration has it. */
function moved (site: JobSite) {
  return { ...site.queue, service: 't' }
}

async function storedJobs (site: JobSite, service: string): Promise<number> {
  const range = await site.driver.range(`${KEYS.requestsPrefix(service)}jobs/`, { prefix: true })
  assert.ok(range.ok)
  return range.value.kvs.length
}

// Jobs were looked up under the service that their queue has now: nobody found those accepted before, and a repeat ran them again.
test('a job is found, repeated and cancelled after its queue has gone to another service, by entries that know nothing of before', async () => {
  for (const disconnect of [false, true]) {
    await withSite(async site => {
      const leader = await site.elect()
      site.plan = () => ({ runMs: 600_000 })
      const req = site.request(ID, [plainStep({ estimateMs: 0 })])
      assert.deepEqual(await site.intake.submit(req), { kind: 'accepted' })
      await untilState(site, ID, 'running')
      if (disconnect) leader.disconnectFromStore()
      const shown = disconnect ? 'queued' : 'running'
      for (const intake of [site.intake, site.newIntake()]) assert.equal(await intake.state(moved(site), ID), shown)
      for (const intake of [site.intake, site.newIntake()]) assert.deepEqual(await intake.submit({ ...req, service: 't' }), { kind: 'accepted' })
      assert.equal(await storedJobs(site, 't'), 0)
      assert.equal(await site.newIntake().cancel(moved(site), ID), 'cancelled')
      assert.equal(await site.newIntake().state(moved(site), ID), 'cancelled')
      const cancellation = await site.driver.range(KEYS.cancellation('s', ID), {})
      assert.ok(cancellation.ok && cancellation.value.kvs.length === 1, 'the service that has the job learns of its cancellation')
    })
  }
})

// An entry with the older configuration, which gets the repeat of a job that the newer one has sent elsewhere, stored a second job.
test('a repeat at an entry with an older configuration stores no second job', async () => {
  await withSite(async site => {
    await site.elect()
    const req = site.request(ID, [plainStep({ estimateMs: 0 })])
    assert.deepEqual(await site.newIntake().submit({ ...req, service: 't' }), { kind: 'accepted' })
    const behind = site.newIntake()
    assert.deepEqual(await behind.submit(req), { kind: 'accepted' })
    assert.equal(await behind.state(site.queue, ID), 'queued')
    assert.equal(await storedJobs(site, 's'), 0)
    assert.equal(site.workers.recordedRuns.length, 0)
  })
})

test('a job of another account looks like none, and its id is taken, also where its queue has another service now', async () => {
  await withSite(async site => {
    await site.elect()
    site.plan = () => ({ runMs: 600_000 })
    const req = site.request(ID, [plainStep({ estimateMs: 0 })], { account: 'a' })
    await site.intake.submit(req)
    for (const intake of [site.intake, site.newIntake()]) {
      assert.equal(await intake.state(moved(site), ID, 'b'), 'none')
      assert.equal(await intake.cancel(moved(site), ID, 'b'), 'none')
      assert.deepEqual(await intake.submit({ ...req, service: 't', account: 'b' }), { kind: 'taken' })
      assert.notEqual(await intake.state(moved(site), ID, 'a'), 'none')
    }
    assert.equal(await site.newIntake().cancel(moved(site), ID, 'a'), 'cancelled')
  })
})

test('the same id at the address of another queue is another job', async () => {
  await withSite(async site => {
    await site.elect()
    await site.intake.submit(site.request(ID, [plainStep({ estimateMs: 0 })]))
    const other = { ...site.queue, name: 'other', pathPrefix: '/other/', service: 't' }
    const intake = site.newIntake()
    assert.equal(await intake.state(other, ID), 'none')
    assert.deepEqual(await intake.submit(site.request(ID, [plainStep()], { queue: 'other', address: 'h/other/', service: 't' })), { kind: 'accepted' })
    assert.equal(await storedJobs(site, 't'), 1)
  })
})

// It was answered as a repeat of the other queue's job, and nothing of it ever ran.
test('a job with the id of another queue of its service is refused, not taken for a repeat', async () => {
  await withSite(async site => {
    await site.elect()
    await site.intake.submit(site.request(ID, [plainStep({ estimateMs: 0 })]))
    const other = site.request(ID, [plainStep()], { queue: 'other', address: 'h/other/' })
    for (const intake of [site.intake, site.newIntake()]) assert.deepEqual(await intake.submit(other), { kind: 'taken' })
  })
})

// The queue came to a service that had a job of another queue with the same id: that one was shown in its place, and cancelled.
test('a job of another queue with the same id is neither shown nor cancelled, with a leader and without one', async () => {
  for (const disconnect of [false, true]) {
    await withSite(async site => {
      const leader = await site.elect()
      site.plan = () => ({ runMs: 600_000 })
      await site.intake.submit(site.request(ID, [plainStep({ estimateMs: 0 })]))
      await untilState(site, ID, 'running')
      await site.intake.submit(site.request(ID, [plainStep()], { queue: 'other', address: 'h/other/', service: 't' }))
      if (disconnect) leader.disconnectFromStore()
      const [other, none] = ['other', 'none'].map(name => ({ ...site.queue, name, pathPrefix: `/${name}/` }))
      assert.ok(other !== undefined && none !== undefined)
      for (const intake of [site.intake, site.newIntake()]) {
        assert.equal(await intake.state(other, ID), 'queued')
        assert.equal(await intake.state(none, ID), 'none')
        assert.equal(await intake.cancel(none, ID), 'none')
      }
      assert.equal(await site.newIntake().cancel(other, ID), 'cancelled')
      assert.equal(await site.newIntake().state(other, ID), 'cancelled')
      assert.notEqual(await site.newIntake().state(site.queue, ID), 'cancelled')
    })
  }
})

// Records of the version before have neither an index entry nor an address.
test('a job that the version before has stored is found, and found after its queue has moved once a leader has begun', async () => {
  await withSite(async site => {
    const { address, ...record } = { ...site.request(ID, [plainStep({ estimateMs: 0 })], { account: 'a' }), acceptedUnder: 0 }
    const value = JSON.stringify({ value: record, writes: ['earlier'] })
    const written = await site.driver.txn({ guards: [], puts: [{ key: KEYS.job('s', ID), value }], deletes: [] })
    assert.ok(written.ok)
    assert.equal(await site.newIntake().state(site.queue, ID), 'queued')
    assert.deepEqual(await site.newIntake().submit({ ...record, address }), { kind: 'accepted' })
    assert.deepEqual(await site.newIntake().submit({ ...record, address, account: 'b' }), { kind: 'taken' })
    site.plan = () => ({ runMs: 600_000 })
    await site.elect()
    await waitUntil('it is found', async () => await site.newIntake().state(moved(site), ID, 'a') === 'running')
    assert.equal(await site.newIntake().state(moved(site), ID, 'b'), 'none')
    assert.deepEqual(await site.newIntake().submit({ ...record, address, service: 't' }), { kind: 'accepted' })
    assert.equal(await storedJobs(site, 't'), 0)
    assert.equal(await site.newIntake().cancel(moved(site), ID, 'a'), 'cancelled')
  })
})

// As above, with entries as processes, a leader that is lost after the move, and an entry that has just started.
test('jobs of a queue that has moved run once and are found by every entry', async () => {
  const site = await JobProcesses.start({ entries: 3, plan: task => ({ runMs: task.startsWith('long') ? 600_000 : 200, how: 'done', demand, members: 1 }) })
  try {
    const job = (id: string, tasks = 2) => ({ id, queue: 'quotes', steps: [{ tasks, demand, estimateMs: 0 }] })
    // 16 tasks of one core fill the workers, so that the last job has to wait.
    for (const body of [job('short'), job('long', 16), job('late')]) {
      assert.equal((await site.call(0, 'POST', '/v1/jobs', body))?.status, 202)
      if (body.id === 'short') await waitUntil('it is completed', async () => (await site.call(1, 'GET', '/v1/jobs/quotes/short'))?.body.state === 'completed')
    }
    const { recordedRuns } = site.hosts.workers
    await waitUntil('all tasks run that have room', () => recordedRuns.length >= 18)
    const queues = [{ name: 'quotes', service: 'surveys' }, { name: 'archive', service: 'quoting' }, { name: 'photos', service: 'surveys' }]
    assert.equal((await site.call(0, 'POST', '/v1/job-config', { version: 2, services: [{ name: 'quoting' }, { name: 'surveys' }], queues }))?.status, 200)
    for (const entry of site.entries.keys()) await waitUntil('the entry has the configuration', async () => (await site.call(entry, 'GET', '/v1/queues/archive'))?.status === 200)
    const restarted = await site.findLeader('quoting')
    await site.entries[restarted]?.process.kill()
    site.restart(restarted)
    await waitUntil('the queue has a leader again', async () => await site.findLeader('quoting') >= 0)
    const states = { short: 'completed', long: 'running', late: 'queued' }
    for (const entry of site.entries.keys()) {
      await waitUntil('the entry responds', async () => (await site.call(entry, 'GET', '/v1/queues/archive'))?.status === 200)
      for (const [id, state] of Object.entries(states)) {
        assert.equal((await site.call(entry, 'POST', '/v1/jobs', job(id)))?.status, 202)
        assert.equal((await site.call(entry, 'GET', `/v1/jobs/quotes/${id}`))?.body.state, state)
      }
      assert.equal((await site.call(entry, 'GET', '/v1/queues/quotes'))?.body.pending, 1)
    }
    // The one that waits goes first, as it would get the room of the other.
    for (const id of ['late', 'long']) assert.equal((await site.call(1, 'DELETE', `/v1/jobs/quotes/${id}`))?.body.state, 'cancelled')
    await waitUntil('the job is stopped', () => recordedRuns.every(run => run.endedAt !== undefined))
    assert.equal(recordedRuns.length, 18)
  } finally {
    await site.stop()
  }
})

test('a job that waits while its queue moves and its old leader is lost runs once there is room', async () => {
  const site = await JobProcesses.start({ entries: 3, plan: task => ({ runMs: task.startsWith('long') ? 600_000 : 200, how: 'done', demand, members: 1 }) })
  try {
    const job = (id: string, tasks: number) => ({ id, queue: 'quotes', steps: [{ tasks, demand, estimateMs: 0 }] })
    assert.equal((await site.call(0, 'POST', '/v1/jobs', job('long', 16)))?.status, 202)
    const { recordedRuns } = site.hosts.workers
    await waitUntil('all workers are full', () => recordedRuns.length === 16)
    assert.equal((await site.call(0, 'POST', '/v1/jobs', job('late', 2)))?.status, 202)
    const old = await site.findLeader('quoting')
    const queues = [{ name: 'quotes', service: 'surveys' }, { name: 'archive', service: 'quoting' }, { name: 'photos', service: 'surveys' }]
    assert.equal((await site.call(0, 'POST', '/v1/job-config', { version: 2, services: [{ name: 'quoting' }, { name: 'surveys' }], queues }))?.status, 200)
    for (const entry of site.entries.keys()) await waitUntil('the entry has the configuration', async () => (await site.call(entry, 'GET', '/v1/queues/archive'))?.status === 200)
    await site.entries[old]?.process.kill()
    site.restart(old)
    await waitUntil('the service has a leader again', async () => await site.findLeader('quoting') >= 0)
    const other = (old + 1) % site.entries.length
    assert.equal((await site.call(other, 'GET', '/v1/jobs/quotes/late'))?.body.state, 'queued')
    assert.equal((await site.call(other, 'DELETE', '/v1/jobs/quotes/long'))?.body.state, 'cancelled')
    await waitUntil('the job that waited is completed', async () => (await site.call(other, 'GET', '/v1/jobs/quotes/late'))?.body.state === 'completed')
    assert.equal(recordedRuns.filter(({ task }) => task.startsWith('late')).length, 2)
  } finally {
    await site.stop()
  }
})
