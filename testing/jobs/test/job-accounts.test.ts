import assert from 'node:assert/strict'
import { test } from 'node:test'
import { plainStep, waitUntil, withSite, type JobSite } from '@wisteriaslip/testing.jobs'

const ID = '00000000000000aa'
const NO_ACCOUNT_ID = '00000000000000bb'

async function submit (site: JobSite, id: string, account?: string) {
  return await site.intake.submit(site.request(id, [plainStep({ estimateMs: 0 })], account === undefined ? {} : { account }))
}

// Whoever knew its id could read and cancel a job of another account.
test('a job of another account looks like no job, and cannot be cancelled, with a leader and without one', async () => {
  await withSite(async site => {
    const leader = await site.elect()
    site.plan = () => ({ runMs: 600_000 })
    await submit(site, ID, 'a')
    for (const disconnect of [() => {}, () => leader.disconnectFromStore()]) {
      disconnect()
      assert.equal(await site.intake.state(site.queue, ID, 'b'), 'none')
      assert.equal(await site.intake.cancel(site.queue, ID, 'b'), 'none')
      for (const account of ['a', undefined]) assert.notEqual(await site.intake.state(site.queue, ID, account), 'none')
    }
    assert.equal(await site.intake.cancel(site.queue, ID, 'a'), 'cancelled')
  })
})

test('a job whose write had no response is cancelled for its own account only', async () => {
  await withSite(async site => {
    site.submitFaults.push('lose-call', 'lose-call', 'lose-call', 'lose-call')
    assert.deepEqual(await submit(site, ID, 'a'), { kind: 'unknown' })
    site.submitFaults.length = 0
    await waitUntil('the store is reached again', async () => await site.intake.state(site.queue, ID, 'b') === 'none')
    assert.equal(await site.intake.cancel(site.queue, ID, 'b'), 'none')
    assert.equal(await site.intake.cancel(site.queue, ID, 'a'), 'cancelled')
  })
})

test('a job keeps its account through a change of leader, in its record', async () => {
  await withSite(async site => {
    await (await site.elect()).releaseLeadership()
    await submit(site, ID, 'a')
    const { term } = await site.elect()
    await waitUntil('the leader has the job', () => term.job(ID)?.account === 'a')
    assert.equal(await site.intake.state(site.queue, ID, 'b'), 'none')
  })
})

test('jobs without an account, as those of earlier versions, are visible to all', async () => {
  await withSite(async site => {
    const leader = await site.elect()
    await submit(site, NO_ACCOUNT_ID)
    assert.notEqual(await site.intake.state(site.queue, NO_ACCOUNT_ID, 'a'), 'none')
    leader.disconnectFromStore()
    assert.notEqual(await site.intake.state(site.queue, NO_ACCOUNT_ID, 'a'), 'none')
    assert.deepEqual(await submit(site, NO_ACCOUNT_ID, 'a'), { kind: 'accepted' })
  })
})

// The second account was told that its job is accepted, and would then have found none.
test('an id is that of one job: a repeat is accepted for its account only, at this and at other entries', async () => {
  await withSite(async site => {
    await site.elect()
    for (const account of ['a', 'a', undefined]) assert.deepEqual(await submit(site, ID, account), { kind: 'accepted' })
    assert.deepEqual(await submit(site, ID, 'b'), { kind: 'taken' })
    const other = site.newIntake()
    const request = site.request(ID, [plainStep({ estimateMs: 0 })])
    assert.deepEqual(await other.submit({ ...request, account: 'b' }), { kind: 'taken' })
    assert.deepEqual(await other.submit({ ...request, account: 'a' }), { kind: 'accepted' })
  })
})
