import assert from 'node:assert/strict'
import { test } from 'node:test'
import { err } from '@wisteriaslip/core.result'
import { silentLogger } from '@wisteriaslip/core.logger'
import { Metrics } from '@wisteriaslip/core.metrics'
import { Leadership, Members, StoreKeys, type EntryLease, type Member } from '@wisteriaslip/peers.membership'
import { StoreClient, type Store } from '@wisteriaslip/store.client'
import { Mirror } from '@wisteriaslip/store.mirror'
import { ManualClock, MemoryDriver } from '@wisteriaslip/testing.stand-ins'

const RESOURCES = ['pool/a', 'pool/b', 'pool/c', 'pool/d']

function member (id: string): Member {
  return { id, incarnation: `${id}-1`, region: 'r', zone: 'z', peerAddress: { host: '127.0.0.1', port: 1 } }
}

/** Entry `e1`, which is registered under its lease and leads all resources, beside `e2`, which leads none. */
async function createEntries () {
  const keys = new StoreKeys('x')
  const mirror = new Mirror()
  const clock = new ManualClock()
  const client = new StoreClient(new MemoryDriver(), { readsPerSecond: 1e6, writesPerSecond: 1e6, metrics: new Metrics(), clock })
  const refresh = async (): Promise<void> => {
    const all = await client.list(keys.watched)
    assert.ok(all.ok)
    mirror.replaceAll(all.value.revision, all.value.docs)
  }
  const lead = async (resource: string, id: string): Promise<void> => {
    const key = keys.leaders + resource
    const prior = await client.get(key)
    assert.ok(prior.ok)
    if (prior.value !== undefined) await client.update([{ key, prior: prior.value, value: undefined }])
    await client.update([{ key, prior: undefined, value: { id, incarnation: `${id}-1` } }])
    await refresh()
  }
  const members = new Members(member('e1'), mirror, keys)
  assert.ok((await members.register(client, 'lease')).ok)
  await client.update([{ key: keys.members + 'e2', prior: undefined, value: member('e2') }])
  for (const resource of RESOURCES) await lead(resource, 'e1')
  return { keys, mirror, clock, client, members, lead, refresh }
}

/** Acquisitions of an entry that alone has to lead all resources, one step of the election. */
async function acquireAlone (resources: readonly string[], opts: { isRejected?: (resource: string) => boolean } = {}): Promise<string[]> {
  const keys = new StoreKeys('x')
  const mirror = new Mirror()
  const clock = new ManualClock()
  const client = new StoreClient(new MemoryDriver(), { readsPerSecond: 1e6, writesPerSecond: 1e6, metrics: new Metrics(), clock })
  const store = {
    update: async (...args: Parameters<Store['update']>) => {
      const isRejected = args[0].some(({ key }) => opts.isRejected?.(key.slice(keys.leaders.length)) === true)
      return isRejected ? err({ kind: 'rejected', code: 'STORE_REJECTED', message: 'rejected' }) : await client.update(...args)
    }
  } as unknown as Store
  await client.update([{ key: keys.members + 'e1', prior: undefined, value: member('e1') }])
  const all = await client.list(keys.watched)
  assert.ok(all.ok)
  mirror.replaceAll(all.value.revision, all.value.docs)
  const lease = { validLeaseId: () => 'lease' } as unknown as EntryLease
  const leadership = new Leadership({ store, mirror, members: new Members(member('e1'), mirror, keys), lease, keys, clock, logger: silentLogger })
  await leadership.step(resources)
  const acquired = await client.list(keys.leaders)
  assert.ok(acquired.ok)
  return acquired.value.docs.map(({ key }) => key.slice(keys.leaders.length)).sort()
}

// One entry that had to lead more than sixteen resources put them into one write, which the store rejected each time.
for (const count of [16, 17, 21, 100]) {
  test(`an entry that is alone acquires ${count} resources in one step`, async () => {
    const resources = Array.from({ length: count }, (_, number) => `pool/${String(number).padStart(3, '0')}`)
    assert.deepEqual(await acquireAlone(resources), resources)
  })
}

// A write that the store rejected for one resource was repeated as it was, and the others had no leader either.
test('a resource whose acquisition is rejected does not hold up the others', async () => {
  assert.deepEqual(await acquireAlone(RESOURCES, { isRejected: resource => resource === 'pool/b' }), ['pool/a', 'pool/c', 'pool/d'])
})

// An entry that gave up several leaderships removed those that others had acquired in the meantime.
test('an entry releases only leaderships that are still its own', async () => {
  const { keys, mirror, clock, client, members, lead, refresh } = await createEntries()
  let releases = 0
  const store = {
    update: async (...args: Parameters<Store['update']>) => {
      releases += 1
      const written = await client.update(...args)
      if (releases === 1) for (const resource of RESOURCES.slice(1)) await lead(resource, 'e2')
      await refresh()
      return written
    }
  } as unknown as Store
  const lease = { validLeaseId: () => 'lease' } as unknown as EntryLease
  const leadership = new Leadership({ store, mirror, members, lease, keys, clock, logger: silentLogger })
  await leadership.step(RESOURCES)
  clock.advance(30_000)
  await leadership.step(RESOURCES)
  assert.ok(releases >= 1, 'a leadership is released')
  assert.deepEqual(RESOURCES.slice(1).map(resource => leadership.leaderOf(resource)?.record.id), ['e2', 'e2', 'e2'])
})

// A leader of a service in trouble released it to balance the numbers of services: its successor had to find out anew which workers were lost.
test('an entry releases no leadership that must not change now, and releases it later', async () => {
  const { keys, mirror, clock, client, members, refresh } = await createEntries()
  const kept = new Set(RESOURCES)
  const lease = { validLeaseId: () => 'lease' } as unknown as EntryLease
  const leadership = new Leadership({ store: client, mirror, members, lease, keys, clock, logger: silentLogger, mayRelease: resource => !kept.has(resource) })
  const vacantAfterStep = async (): Promise<string[]> => {
    clock.advance(25_000)
    await leadership.step(RESOURCES)
    await refresh()
    return RESOURCES.filter(resource => leadership.leaderOf(resource) === undefined)
  }
  await leadership.step(RESOURCES)
  assert.deepEqual(await vacantAfterStep(), [])
  kept.delete('pool/c')
  assert.deepEqual(await vacantAfterStep(), ['pool/c'])
})

test('a leadership is given up only with its own token, and acquired anew with another one', async () => {
  const { keys, mirror, clock, client, members, lead, refresh } = await createEntries()
  const lease = { validLeaseId: () => 'lease' } as unknown as EntryLease
  const leadership = new Leadership({ store: client, mirror, members, lease, keys, clock, logger: silentLogger })
  const token = leadership.recordedToken('pool/a') ?? 0
  await leadership.giveUp('pool/a', token + 1)
  await refresh()
  assert.equal(leadership.recordedToken('pool/a'), token)
  await leadership.giveUp('pool/a', token)
  await refresh()
  assert.equal(leadership.leaderOf('pool/a'), undefined)
  await lead('pool/a', 'e1')
  assert.ok((leadership.recordedToken('pool/a') ?? 0) > token)
  const stale = mirror.get(keys.leaders + 'pool/b')?.createRevision ?? 0
  const other = await client.get(keys.leaders + 'pool/b')
  assert.ok(other.ok && other.value !== undefined)
  await client.update([{ key: keys.leaders + 'pool/b', prior: other.value, value: undefined }])
  await client.update([{ key: keys.leaders + 'pool/b', prior: undefined, value: { id: 'e2', incarnation: 'e2-1' } }])
  await leadership.giveUp('pool/b', stale)
  await refresh()
  assert.equal(leadership.leaderOf('pool/b')?.record.id, 'e2')
})

// A leader that had released a service went on until its mirror showed that, beside the one that had acquired it.
test('a leadership that is being released is not confirmed, and its release is repeated until it is written', async () => {
  const { keys, mirror, clock, client, members, refresh } = await createEntries()
  await client.update([{ key: `${keys.leaders}pool/z`, prior: undefined, value: { id: 'e1', incarnation: 'e1-1' } }])
  await refresh()
  let isLost = true
  const store = {
    update: async (...args: Parameters<Store['update']>) => isLost ? err({ kind: 'unavailable', code: 'STORE_UNAVAILABLE', maybeApplied: true, message: 'lost' }) : await client.update(...args)
  } as unknown as Store
  const lease = { validLeaseId: () => 'lease', confirmation: () => ({ leaseId: 'lease', at: clock.now() }) } as unknown as EntryLease
  const leadership = new Leadership({ store, mirror, members, lease, keys, clock, logger: silentLogger })
  const token = leadership.recordedToken('pool/z') ?? 0
  assert.equal(leadership.confirmedAt('pool/z', token), clock.now())
  await leadership.giveUp('pool/z', token)
  assert.equal(leadership.confirmedAt('pool/z', token), Number.NEGATIVE_INFINITY)
  isLost = false
  await leadership.step(['pool/z'])
  await refresh()
  assert.equal(leadership.leaderOf('pool/z'), undefined)
})

// The fleet's leader goes by its token: it moved and maintained VMs beside the entry that had acquired what it was releasing.
test('a leadership that is being released has no token, even while its lease is valid and the mirror still shows it', async () => {
  const { keys, mirror, clock, client, members } = await createEntries()
  const lease = { validLeaseId: () => 'lease' } as unknown as EntryLease
  const leadership = new Leadership({ store: client, mirror, members, lease, keys, clock, logger: silentLogger })
  const token = leadership.token('pool/a') ?? 0
  assert.ok(token > 0)
  await leadership.giveUp('pool/a', token)
  assert.equal(leadership.recordedToken('pool/a'), token, 'the mirror does not show the release yet')
  assert.equal(leadership.token('pool/a'), undefined)
})

// Services acquired in one write have one token: the release of one stopped the leader of the others, which were then released, too.
test('the release of one leadership leaves another one that was acquired in the same write', async () => {
  const { keys, mirror, clock, client, members, refresh } = await createEntries()
  const names = ['pool/y', 'pool/z']
  await client.update(names.map(resource => ({ key: keys.leaders + resource, prior: undefined, value: { id: 'e1', incarnation: 'e1-1' } })))
  await refresh()
  const lease = { validLeaseId: () => 'lease' } as unknown as EntryLease
  const leadership = new Leadership({ store: client, mirror, members, lease, keys, clock, logger: silentLogger })
  const token = leadership.token('pool/y') ?? 0
  assert.equal(leadership.token('pool/z'), token)
  await leadership.giveUp('pool/y', token)
  assert.equal(leadership.token('pool/z'), token)
  await leadership.step(names)
  await refresh()
  assert.deepEqual(names.map(resource => leadership.leaderOf(resource)?.record.id), [undefined, 'e1'])
})

// An entry that restarted before its record had run out counted as present all the while, and got leaderships in the middle of trouble.
test('no leadership is released to a member that has restarted within 20 s under a record that never was missing', async () => {
  const { keys, mirror, clock, client, members, refresh } = await createEntries()
  const lease = { validLeaseId: () => 'lease' } as unknown as EntryLease
  const leadership = new Leadership({ store: client, mirror, members, lease, keys, clock, logger: silentLogger })
  await leadership.step(RESOURCES)
  clock.advance(30_000)
  const prior = await client.get(keys.members + 'e2')
  assert.ok(prior.ok)
  await client.update([{ key: keys.members + 'e2', prior: prior.value, value: { ...member('e2'), incarnation: 'e2-2' } }])
  await refresh()
  const leaders = (): Array<string | undefined> => RESOURCES.map(resource => leadership.leaderOf(resource)?.record.id)
  for (const ageMs of [0, 19_000]) {
    clock.advance(ageMs)
    await leadership.step(RESOURCES)
    await refresh()
    assert.deepEqual(leaders(), RESOURCES.map(() => 'e1'))
  }
  clock.advance(6_000)
  await leadership.step(RESOURCES)
  await refresh()
  assert.ok(leaders().includes(undefined))
})

// An entry with a new lease took itself for the leader under a token of the lease before, and ordered VMs beside its successor.
test('a token of an earlier lease is not valid under a new one, however late the mirror shows its end', async () => {
  const { keys, mirror, clock, client, members, refresh } = await createEntries()
  const held = { id: 'lease' }
  const lease = { validLeaseId: () => held.id, confirmation: () => ({ leaseId: held.id, at: clock.now() }) } as unknown as EntryLease
  const leadership = new Leadership({ store: client, mirror, members, lease, keys, clock, logger: silentLogger })
  assert.equal(leadership.token('pool/a'), leadership.recordedToken('pool/a'))
  held.id = 'next lease'
  assert.equal(leadership.token('pool/a'), undefined, 'before the registration under the new lease')
  assert.ok((await members.register(client, held.id)).ok)
  assert.equal(leadership.token('pool/a'), undefined, 'after it')
  assert.notEqual(leadership.recordedToken('pool/a'), undefined, 'the mirror still shows the record')
  const ended = await client.get(keys.leaders + 'pool/a')
  assert.ok(ended.ok && ended.value !== undefined)
  await client.update([{ key: ended.value.key, prior: ended.value, value: undefined }])
  await refresh()
  for (let steps = 0; steps < 2; steps += 1) {
    await leadership.step(['pool/a'])
    clock.advance(2_000)
  }
  await refresh()
  assert.notEqual(leadership.token('pool/a'), undefined, 'acquired under the new lease')
})
