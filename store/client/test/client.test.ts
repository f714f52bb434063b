import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { err } from '@wisteriaslip/core.result'
import { Metrics } from '@wisteriaslip/core.metrics'
import { StoreClient, type StoreClientOpts } from '@wisteriaslip/store.client'
import { ManualClock, MemoryDriver, type DriverFault } from '@wisteriaslip/testing.stand-ins'

function client (driver: MemoryDriver, opts: Partial<StoreClientOpts> = {}): StoreClient {
  return new StoreClient(driver, { readsPerSecond: 1e6, writesPerSecond: 1e6, metrics: new Metrics(), clock: new ManualClock(), ...opts })
}

test('update succeeds after a lost reply when the write id is found in the store', async () => {
  const driver = new MemoryDriver()
  const store = client(driver)
  driver.faults.push('lose-reply')
  const written = await store.update([{ key: 'a', prior: undefined, value: 1 }])
  assert.ok(written.ok)
  const read = await store.get('a')
  assert.equal(read.ok && read.value?.value, 1)
})

test('update reports a conflict when another client wrote the key after a lost call', async () => {
  const driver = new MemoryDriver()
  const [ours, theirs] = [client(driver), client(driver)]
  driver.faults.push('lose-call')
  driver.beforeTxn = async () => {
    driver.beforeTxn = async () => {}
    await theirs.update([{ key: 'a', prior: undefined, value: 'theirs' }])
  }
  const written = await ours.update([{ key: 'a', prior: undefined, value: 'ours' }])
  assert.equal(!written.ok && written.error.kind, 'conflict')
})

// A caller that was told that nothing was written refused a job that then ran.
test('update reports an unknown outcome when the call budget ends after a lost reply', async () => {
  const driver = new MemoryDriver()
  const store = client(driver, { writesPerSecond: 0.5 })
  driver.faults.push('lose-reply')
  const written = await store.update([{ key: 'a', prior: undefined, value: 1 }])
  assert.ok(!written.ok)
  assert.deepEqual({ kind: written.error.kind, maybeApplied: written.error.kind === 'unavailable' && written.error.maybeApplied }, { kind: 'unavailable', maybeApplied: true })
})

test('concurrent increments with lost calls and replies count each success once', async () => {
  const fault = fc.constantFrom<DriverFault>('fine', 'lose-call', 'lose-reply')
  await fc.assert(fc.asyncProperty(fc.array(fault, { maxLength: 12 }), async faults => {
    const driver = new MemoryDriver()
    driver.faults.push(...faults)
    const stores = [client(driver), client(driver)]
    let succeeded = 0
    let unknown = 0
    for (let round = 0; round < 6; round++) {
      await Promise.all(stores.map(async store => {
        const prior = await store.get('n')
        if (!prior.ok) return
        const written = await store.update([{ key: 'n', prior: prior.value, value: Number(prior.value?.value ?? 0) + 1 }])
        if (written.ok) succeeded += 1
        else if (written.error.kind === 'unavailable' && written.error.maybeApplied) unknown += 1
      }))
    }
    const last = await client(driver).get('n')
    const count = last.ok ? Number(last.value?.value ?? 0) : -1
    assert.ok(count >= succeeded && count <= succeeded + unknown, `count ${count}, ${succeeded} succeeded, ${unknown} with unknown outcome`)
  }), { seed: 7, numRuns: 15 })
})

test('the circuit breaker opens after failures and closes after a successful probe', async () => {
  const driver = new MemoryDriver()
  const clock = new ManualClock()
  const store = client(driver, { clock })
  driver.faults.push('lose-call', 'lose-call', 'lose-call')
  await store.update([{ key: 'a', prior: undefined, value: 1 }])
  assert.equal(store.available(), false)
  const refused = await store.get('a')
  assert.equal(!refused.ok && refused.error.kind, 'unavailable')
  clock.advance(2_000)
  assert.ok((await store.get('a')).ok)
  assert.equal(store.available(), true)
})

// An entry that did not renew its lease after a few lost replies lost every leadership.
test('a lease is renewed while the circuit breaker is open, and that closes it', async () => {
  const driver = new MemoryDriver()
  const store = client(driver)
  driver.faults.push('lose-call', 'lose-call', 'lose-call')
  await store.update([{ key: 'a', prior: undefined, value: 1 }])
  assert.equal(store.available(), false)
  assert.ok((await store.keepAlive('lease', new AbortController().signal)).ok)
  assert.equal(store.available(), true)
})

test('renewals that fail do not postpone the probe of an open circuit breaker', async () => {
  const driver = new MemoryDriver()
  const clock = new ManualClock()
  const store = client(driver, { clock })
  driver.faults.push('lose-call', 'lose-call', 'lose-call')
  await store.update([{ key: 'a', prior: undefined, value: 1 }])
  driver.keepAlive = async () => err({ kind: 'lost', message: 'reply lost' })
  clock.advance(900)
  assert.equal((await store.keepAlive('lease', new AbortController().signal)).ok, false)
  clock.advance(200)
  assert.ok((await store.get('a')).ok)
})

test('calls that exceed the budget are rejected until it refills', async () => {
  const clock = new ManualClock()
  const store = client(new MemoryDriver(), { readsPerSecond: 2, clock })
  const results = await Promise.all(Array.from({ length: 6 }, async () => await store.get('a')))
  assert.equal(results.filter(result => result.ok).length, 4)
  clock.advance(1_000)
  assert.ok((await store.get('a')).ok)
})

// Whatever callers ask for took the whole budget: the entry's own calls were rejected for as long as they went on.
test('calls for callers leave a part of the budget to all others', async () => {
  const clock = new ManualClock()
  const store = client(new MemoryDriver(), { readsPerSecond: 60, writesPerSecond: 30, clock })
  for (let second = 0; second < 3; second++) {
    for (let number = 0; number < 200; number++) {
      await store.get('a', { forCaller: true })
      await store.update([{ key: `caller-${second}-${number}`, prior: undefined, value: 1 }], { forCaller: true })
    }
    assert.equal((await store.get('a', { forCaller: true })).ok, false)
    const own = await Promise.all(Array.from({ length: 10 }, async (_, number) => [await store.get('a'), await store.list('a'), await store.update([{ key: `own-${second}-${number}`, prior: undefined, value: 1 }])]))
    assert.ok(own.flat().every(({ ok }) => ok))
    clock.advance(1_000)
  }
})

test('a small budget is not kept from callers', async () => {
  const store = client(new MemoryDriver(), { readsPerSecond: 0.5, clock: new ManualClock() })
  assert.ok((await store.get('a', { forCaller: true })).ok)
})
