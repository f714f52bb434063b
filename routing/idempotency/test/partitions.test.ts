import assert from 'node:assert/strict'
import { test } from 'node:test'
import { silentLogger } from '@wisteriaslip/core.logger'
import { Metrics } from '@wisteriaslip/core.metrics'
import type { ClaimRequest } from '@wisteriaslip/peers.protocol'
import { StoreClient } from '@wisteriaslip/store.client'
import { ClaimPartitions, partitionOf, partitionResource } from '@wisteriaslip/routing.idempotency'
import { ManualClock, MemoryDriver } from '@wisteriaslip/testing.stand-ins'

const request: ClaimRequest = { id: 'claim-1', bodyHash: 'body-1', requestId: 'request-1', settleWithinMs: 1_000 }
const resource = partitionResource(partitionOf(request.id))
const outcome = { status: 200, headers: {}, bodyBase64: 'b2s=' }

class PartitionOwner {
  token: number | undefined
  wallTime = 0
  readonly clock = new ManualClock()
  readonly partitions: ClaimPartitions
  readonly store: StoreClient

  constructor (driver: MemoryDriver) {
    this.store = new StoreClient(driver, { readsPerSecond: 1_000, writesPerSecond: 1_000, metrics: new Metrics(), clock: this.clock })
    this.partitions = new ClaimPartitions({
      store: this.store,
      prefix: 'claims/',
      clock: this.clock,
      wallClock: () => this.wallTime,
      logger: silentLogger,
      token: each => each === resource ? this.token : undefined,
      guard: (each, token) => ({ key: `leaders/${each}`, createRevision: token }),
      maxRequestMs: () => 1_000
    })
  }

  async acquireLeadership (): Promise<void> {
    const key = `leaders/${resource}`
    const prior = await this.store.get(key)
    if (prior.ok && prior.value !== undefined) await this.store.update([{ key, prior: prior.value, value: undefined }])
    const written = await this.store.update([{ key, prior: undefined, value: 'me' }])
    this.token = written.ok ? written.value : undefined
  }

  async claim (change: Partial<ClaimRequest> = {}): Promise<string> {
    const reply = this.partitions.claim({ ...request, ...change })
    await flushMicrotasks()
    await this.partitions.flush()
    return (await reply).state
  }
}

/** Blocks the next write until the returned function is called; later writes are not blocked. */
function holdNextWrite (driver: MemoryDriver): () => void {
  let releaseWrite = (): void => {}
  const held = new Promise<void>(resolve => { releaseWrite = resolve })
  driver.beforeTxn = async () => {
    driver.beforeTxn = async () => {}
    await held
  }
  return releaseWrite
}

async function flushMicrotasks (): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
}

test('runs a request once per key and replays its response', async () => {
  const owner = new PartitionOwner(new MemoryDriver())
  await owner.acquireLeadership()
  assert.equal(await owner.claim(), 'run')
  assert.equal(await owner.claim({ requestId: 'request-2' }), 'running')
  assert.equal(await owner.claim({ bodyHash: 'other' }), 'different')
  owner.partitions.settle({ id: request.id, requestId: request.requestId, result: { outcome } })
  assert.equal(await owner.claim({ requestId: 'request-2' }), 'answered')
})

test('allows a released key to be claimed again', async () => {
  const owner = new PartitionOwner(new MemoryDriver())
  await owner.acquireLeadership()
  assert.equal(await owner.claim(), 'run')
  owner.partitions.settle({ id: request.id, requestId: request.requestId, result: 'released' })
  assert.equal(await owner.claim({ requestId: 'request-2' }), 'run')
})

test('a new owner loads the claims of the previous owner', async () => {
  const driver = new MemoryDriver()
  const [first, second] = [new PartitionOwner(driver), new PartitionOwner(driver)]
  await first.acquireLeadership()
  assert.equal(await first.claim(), 'run')
  await second.acquireLeadership()
  assert.equal(await second.claim({ requestId: 'request-2' }), 'running')
  second.clock.advance(10_000)
  assert.equal(await second.claim({ requestId: 'request-2' }), 'lost')
})

test('an owner that has been replaced cannot grant a claim', async () => {
  const driver = new MemoryDriver()
  const [first, second] = [new PartitionOwner(driver), new PartitionOwner(driver)]
  await first.acquireLeadership()
  assert.equal(await first.claim({ id: request.id, bodyHash: 'warm-up', requestId: 'r0' }), 'run')
  first.partitions.settle({ id: request.id, requestId: 'r0', result: 'released' })
  await second.acquireLeadership()
  assert.equal(await first.claim({ bodyHash: 'warm-up', requestId: 'r1' }), 'unavailable')
})

test('a claim whose write got no reply is granted only to the request that made it', async () => {
  const driver = new MemoryDriver()
  const owner = new PartitionOwner(driver)
  await owner.acquireLeadership()
  driver.faults.push('lose-reply')
  assert.equal(await owner.claim(), 'run')
  assert.equal(await owner.claim({ requestId: 'request-2' }), 'running')
})

test('a claim whose write has an unknown outcome is never granted to another request', async () => {
  const driver = new MemoryDriver()
  const owner = new PartitionOwner(driver)
  await owner.acquireLeadership()
  driver.faults.push('lose-reply', 'lose-call', 'lose-call', 'lose-call')
  assert.equal(await owner.claim(), 'unavailable')
  owner.clock.advance(5_000)
  assert.equal(await owner.claim({ requestId: 'request-2' }), 'running')
  assert.equal(await owner.claim(), 'run')
})

test('grants one of two claims of a key when the second arrives during the write of the first', async () => {
  const driver = new MemoryDriver()
  const owner = new PartitionOwner(driver)
  await owner.acquireLeadership()
  const releaseWrite = holdNextWrite(driver)
  const first = owner.partitions.claim(request)
  await flushMicrotasks()
  const flushing = owner.partitions.flush()
  await flushMicrotasks()
  const second = owner.partitions.claim({ ...request, requestId: 'request-2' })
  await flushMicrotasks()
  releaseWrite()
  await flushing
  await owner.partitions.flush()
  assert.deepEqual([(await first).state, (await second).state], ['run', 'running'])
})

test('every claim gets a reply when leadership changes during a write', async () => {
  const driver = new MemoryDriver()
  const owner = new PartitionOwner(driver)
  await owner.acquireLeadership()
  const releaseWrite = holdNextWrite(driver)
  const first = owner.partitions.claim(request)
  await flushMicrotasks()
  const flushing = owner.partitions.flush()
  await flushMicrotasks()
  await owner.acquireLeadership()
  const second = owner.partitions.claim({ ...request, requestId: 'request-2' })
  await flushMicrotasks()
  releaseWrite()
  await flushing
  await owner.partitions.flush()
  assert.equal((await first).state, 'unavailable')
  assert.equal((await second).state, 'run')
})

/** Ids of claims of the same partition as the request. */
function idsOfPartition (count: number): string[] {
  const ids = Array.from({ length: 100 * count }, (_, index) => `claim-${index}`)
  return ids.filter(id => partitionOf(id) === partitionOf(request.id)).slice(0, count)
}

// An owner that did not know whether it had deleted an expired segment deleted none any more.
for (const faults of [[], ['lose-reply'], ['lose-reply', 'lose-call', 'lose-call']] as const) {
  test(`expired segments are deleted when ${faults.length} calls of a deletion get no reply`, async t => {
    const driver = new MemoryDriver()
    const owner = new PartitionOwner(driver)
    await owner.acquireLeadership()
    const prefix = `claims/${String(partitionOf(request.id)).padStart(2, '0')}/`
    for (const since of [0, 1, 2]) await owner.store.update([{ key: `${prefix}${since}`, prior: undefined, value: { since, claims: [] } }])
    owner.wallTime = 48 * 60 * 60 * 1_000
    const { txn } = driver
    driver.txn = async call => {
      if (call.deletes.length > 0) {
        driver.txn = txn
        driver.faults.push(...faults)
      }
      return await txn.call(driver, call)
    }
    const shutdown = new AbortController()
    t.after(() => shutdown.abort())
    owner.partitions.run(shutdown.signal).catch(assert.ifError)
    for (const id of idsOfPartition(4)) {
      owner.clock.advance(61_000)
      await owner.partitions.claim({ ...request, id })
      await new Promise(resolve => setTimeout(resolve, 500))
    }
    const stored = await owner.store.list(prefix)
    assert.equal(stored.ok && stored.value.count, 1)
  })
}
