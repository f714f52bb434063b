import assert from 'node:assert/strict'
import { test } from 'node:test'
import { explainJob } from '@wisteriaslip/jobs.scheduler'
import { computeServiceLoad } from '@wisteriaslip/jobs.service'
import { faults } from './quota-store.ts'
import { Site } from './quotas-model.ts'

const QUOTA = 6_000
const KEY = 'quotas/team'

/** A site whose first service runs the given number of tasks of a core each. */
async function siteWithRuns (tasks: number): Promise<Site> {
  const site = new Site()
  site.accept('s0', { cpu: 1_000, tasks })
  await site.work(2)
  assert.equal(site.usedBy('s0'), Math.min(QUOTA, tasks * 1_000))
  return site
}

/** Takes over a service; workers respond to the new leader. */
async function takeOver (site: Site): Promise<void> {
  await site.perform(6, 0, 0)
  await site.work(2)
}

function assertHeld (site: Site): void {
  assert.deepEqual(site.violations, [])
}

test('an account with work in one service gets its whole quota there, and no more', async () => {
  const site = await siteWithRuns(10)
  assert.equal(site.usedBy('s0'), QUOTA)
})

test('jobs without an account and accounts without a quota cost no call of the store', async () => {
  const site = new Site()
  site.accounts.set(QUOTA, { name: 'team', keyDigests: [], weight: 1, quota: { cpu: 0, memMb: 0, accelerators: 0 } })
  site.leader('s0').holder.run(site.leader('s0').scheduler, AbortSignal.abort()).catch(assert.fail)
  site.accept('s0', { cpu: 1_000, tasks: 4 })
  site.accept('s0', { cpu: 1_000, tasks: 4, account: '' })
  const { reads, writes } = site.store
  for (const action of [12, 2, 1, 2, 2, 1]) await site.perform(action, 0, 0)
  assert.equal(site.usedBy('s0'), 8_000)
  assert.deepEqual([site.store.reads, site.store.writes], [reads, writes])
})

test('a new leader inherits the part and the runs', async () => {
  const site = await siteWithRuns(10)
  await takeOver(site)
  site.accept('s0', { cpu: 1_000, tasks: 4 })
  await site.work(4)
  assert.equal(site.usedBy('s0'), QUOTA)
  assertHeld(site)
})

test('a leader that is cut off from the store goes on within its part', async () => {
  const site = await siteWithRuns(10)
  site.leader('s0').cut = true
  site.endAll()
  for (const action of [2, 1]) await site.perform(action, 0, 0)
  assert.equal(site.usedBy('s0'), 4_000)
  site.accept('s1', { cpu: 1_000, tasks: 10 })
  await site.work(2)
  assertHeld(site)
})

test('runs on a silent worker count until its lease has expired', async () => {
  const site = await siteWithRuns(6)
  site.workersOf('s0').forEach(worker => { worker.silent = true })
  site.accept('s1', { cpu: 1_000, tasks: 2 })
  await site.work(4)
  assert.equal(site.usedBy('s1'), 0)
  for (let second = 0; second < 8; second++) {
    site.advance(1_000)
    await site.work()
  }
  assert.equal(site.usedBy('s1'), 2_000)
  assertHeld(site)
})

test('a start without a response counts until it is known not to be carried out', async () => {
  const site = await siteWithRuns(5)
  site.accept('s0', { cpu: 1_000 })
  await site.perform(12, 0, 0)
  await site.perform(1, 0, 2)
  assert.equal(site.usedBy('s0'), 5_000)
  site.accept('s0', { cpu: 1_000 })
  await site.perform(12, 0, 0)
  await site.perform(1, 0, 0)
  assert.equal(site.usedBy('s0'), 5_000)
  await site.perform(11, 0, 0)
  await site.work(3)
  assert.equal(site.usedBy('s0'), QUOTA)
  assertHeld(site)
})

test('a run that is being stopped counts until it has ended', async () => {
  const site = await siteWithRuns(6)
  const [job] = site.jobs
  site.leader('s0').scheduler.table.cancel(job?.id ?? '')
  site.accept('s1', { cpu: 1_000 })
  for (const action of [12, 3]) await site.perform(action, 0, 0)
  await site.perform(1, 0, 0)
  assert.equal(site.usedBy('s1'), 0)
  await site.work(3)
  assert.equal(site.usedBy('s1'), 1_000)
  assertHeld(site)
})

test('with the store away no part is raised, and starts go on when it is back', async () => {
  const site = new Site()
  site.leaders.forEach(leader => { leader.cut = true })
  site.jobs.length = 0
  for (const leader of site.leaders) leader.scheduler.addJob(site.accept(leader.service, { cpu: 1_000, tasks: 3 }), { acceptedThisTerm: true })
  for (const action of [2, 2, 1, 3, 1]) await site.perform(action, 0, 0)
  assert.equal(site.started, 0)
  site.leaders.forEach(leader => { leader.cut = false })
  await site.work(4)
  assert.equal(site.started, 6)
})

test('a version that lowers the quota stops nothing, and nothing starts before enough has ended', async () => {
  const site = await siteWithRuns(10)
  await site.perform(9, 1, 0)
  await site.perform(10, 0, 0)
  site.accept('s1', { cpu: 1_000, tasks: 3 })
  await site.work(3)
  assert.equal(site.usedBy('s0'), QUOTA)
  assert.equal(site.usedBy('s1'), 0)
  for (let round = 0; round < 12; round++) {
    await site.perform(5, 3, 0)
    await site.work(2)
  }
  assert.equal(site.usedBy('s0') + site.usedBy('s1'), 3_000)
  assert.ok(site.usedBy('s1') >= 1_000)
  assertHeld(site)
})

test('two leaders that raise their parts at the same moment share the quota', async () => {
  const site = new Site()
  site.accept('s0', { cpu: 1_000, tasks: 10 })
  site.accept('s1', { cpu: 1_000, tasks: 10 })
  await site.work(2)
  assert.ok(site.usedBy('s0') + site.usedBy('s1') > 0)
  await site.work(6)
  assert.equal(site.usedBy('s0') + site.usedBy('s1'), QUOTA)
  assertHeld(site)
})

test('a service whose runs follow each other without a gap gives way to another one', async () => {
  const site = await siteWithRuns(200)
  site.accept('s1', { cpu: 3_000, gang: true, tasks: 1 })
  for (let round = 0; round < 20 && site.usedBy('s1') === 0; round++) {
    await site.perform(5, 3, 0)
    await site.work()
  }
  assert.equal(site.usedBy('s1'), 3_000)
  assertHeld(site)
})

test('room that comes later finds the part raised for all that waits', async () => {
  const site = new Site()
  await site.perform(9, 2, 0)
  await site.perform(10, 0, 0)
  const [, second] = site.workersOf('s0')
  assert.ok(second)
  second.silent = true
  await site.perform(2, 0, 0)
  site.accept('s0', { cpu: 1_000, tasks: 20 })
  await site.work(2)
  assert.equal(site.usedBy('s0'), 6_000)
  site.leader('s0').cut = true
  second.silent = false
  for (const action of [2, 2, 1]) await site.perform(action, 0, 0)
  assert.equal(site.usedBy('s0'), 9_000)
})

test('a long-running task that ends or is moved starts again although another service lacks its part', async () => {
  const site = new Site()
  site.accept('s0', { cpu: 1_000, tasks: 6, lasting: true })
  await site.work(2)
  site.accept('s1', { cpu: 1_000, tasks: 3 })
  await site.work(2)
  for (let round = 0; round < 4; round++) {
    await site.perform(5, 3, 0)
    await site.perform(2, 0, 0)
    assert.equal(site.usedBy('s0'), 5_000)
    for (const action of [3, 12, 3, 12, 4]) await site.perform(action, 0, 0)
    await site.work(3)
    assert.equal(site.usedBy('s0'), QUOTA)
  }
  assertHeld(site)
})

test('a task that needs the whole quota gets its turn beside services that want it, too', async () => {
  const site = await siteWithRuns(200)
  site.accept('s1', { cpu: 2_000, tasks: 200 })
  const whole = site.accept('s2', { cpu: 6_000 })
  let ran = false
  for (let round = 0; round < 80 && !ran; round++) {
    for (const service of [0, 1]) await site.perform(5, 9 + service, 0)
    await site.work(2)
    site.advance(100)
    ran = site.usedBy('s2') > 0
  }
  assert.ok(ran, whole.id)
  assertHeld(site)
})

test('a task that is larger than the quota never starts, says so, and holds nothing up', async () => {
  const site = new Site()
  const large = site.accept('s0', { cpu: 4_000, tasks: 2, gang: true, lasting: true })
  site.accept('s0', { cpu: 1_000, tasks: 6 })
  await site.work(4)
  assert.equal(site.usedBy('s0'), QUOTA)
  const { scheduler } = site.leader('s0')
  const explained = explainJob(scheduler, large.id, { queue: () => undefined, now: site.now }) as { occurrences: Array<{ steps: Array<{ waitsFor: string, quota: { neverFits: boolean, part: { cpu: number } } }> }> }
  assert.equal(explained.occurrences[0]?.steps[0]?.waitsFor, 'ACCOUNT_QUOTA')
  assert.equal(explained.occurrences[0]?.steps[0]?.quota.neverFits, true)
  assert.equal(explained.occurrences[0]?.steps[0]?.quota.part.cpu, QUOTA)
})

test('work beyond the quota asks for no VMs and reserves no worker', async () => {
  const site = await siteWithRuns(50)
  site.accept('s0', { cpu: 5_000, lasting: true })
  await site.work(2)
  const { scheduler } = site.leader('s0')
  assert.equal(scheduler.waitingDemand().cpu, 0)
  scheduler.addJob({ ...site.accept('s0', { cpu: 1_000 }), schedule: { times: 2, firstMs: site.now + 500, everyMs: 60_000 } }, { acceptedThisTerm: true })
  scheduler.addJob(site.accept('s0', { cpu: 1_000, tasks: 9, perWorker: 1 }), { acceptedThisTerm: true })
  const load = computeServiceLoad(scheduler, site.now)
  assert.deepEqual([load.wantedCpu, load.leastWorkers], [QUOTA, 0])
  assert.ok([...scheduler.workers.values()].every(worker => !scheduler.reservations.isForAnother(worker, { step: { spec: { lasting: false } } } as never)))
  site.accept('s0', { cpu: 1_000, account: '' })
  await site.work()
  assert.equal(site.usedBy('s0'), QUOTA + 1_000)
})

test('while a record cannot be read its part stays as it is, and a new leader starts nothing', async () => {
  const site = await siteWithRuns(6)
  site.store.put(KEY, 'not a record')
  site.endAll()
  site.accept('s0', { cpu: 1_000, tasks: 10 })
  await site.work(3)
  assert.equal(site.usedBy('s0'), QUOTA)
  site.endAll()
  await takeOver(site)
  assert.equal(site.usedBy('s0'), 0)
  site.store.put(KEY, { quota: { cpu: QUOTA, memMb: 0, accelerators: 0 }, parts: {} })
  await site.work(3)
  assert.equal(site.usedBy('s0'), 4_000)
})

test('an account that is removed keeps its quota for the work that is left, and has it when it is back', async () => {
  const site = await siteWithRuns(10)
  site.isConfigured = false
  await takeOver(site)
  site.endAll()
  await site.work(3)
  assert.equal(site.usedBy('s0'), 4_000)
  site.isConfigured = true
  site.accept('s1', { cpu: 1_000, tasks: 10 })
  await site.work(4)
  assert.equal(site.usedBy('s0') + site.usedBy('s1'), QUOTA)
  assertHeld(site)
})

test('a job that comes before its account waits for the configuration, for 3 s at most', async () => {
  const site = new Site()
  site.isConfigured = false
  site.accept('s0', { cpu: 1_000 })
  await site.work(3)
  assert.equal(site.usedBy('s0'), 0)
  site.advance(3_000)
  await site.work(2)
  assert.equal(site.usedBy('s0'), 1_000)
})

test('a full quota whose runs all end is free for another service within a second', async () => {
  const site = await siteWithRuns(6)
  site.accept('s1', { cpu: 1_000, tasks: 6 })
  await site.work(2)
  site.endAll()
  const endedAt = site.now
  while (site.usedBy('s1') < QUOTA && site.now < endedAt + 5_000) await site.work()
  assert.ok(site.now - endedAt <= 1_000, `${site.now - endedAt} ms`)
  assertHeld(site)
})

test('a part that nobody has used for long goes back', async () => {
  const site = await siteWithRuns(6)
  site.endAll()
  await site.work(2)
  site.advance(11_000)
  await site.work(2)
  assert.deepEqual((site.store.docs.get(KEY)?.value as { parts: unknown }).parts, {})
})

test('a leader whose writes have no response starts only what a read has confirmed', async () => {
  const site = new Site()
  site.accept('s0', { cpu: 1_000, tasks: 6 })
  for (const action of [12, 2, 2, 1]) await site.perform(action, 0, 0)
  await site.perform(3, 0, faults.late)
  await site.perform(1, 0, 0)
  assert.equal(site.usedBy('s0'), 0)
  await site.perform(11, 0, 0)
  await site.work(2)
  assert.equal(site.usedBy('s0'), QUOTA)
})
