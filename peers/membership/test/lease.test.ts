import assert from 'node:assert/strict'
import { test } from 'node:test'
import { delay, err, ok, onAbort, type Result } from '@wisteriaslip/core.result'
import { silentLogger } from '@wisteriaslip/core.logger'
import { Metrics } from '@wisteriaslip/core.metrics'
import { EntryLease } from '@wisteriaslip/peers.membership'
import { StoreClient, type Driver, type DriverError, type Store, type StoreError } from '@wisteriaslip/store.client'
import { VirtualProcess } from '@wisteriaslip/testing.jobs'

const TTL_MS = 1_500
const STORE_DELAY_MS = 4

/** A store on a virtual clock that loses the responses to some renewals. */
class LossyStore {
  renewals = 0
  private readonly process: VirtualProcess
  private readonly loses: (renewal: number) => boolean

  constructor (process: VirtualProcess, loses: (renewal: number) => boolean) {
    this.process = process
    this.loses = loses
  }

  async grantLease (): Promise<Result<string, StoreError>> {
    return ok('1')
  }

  async keepAlive (_leaseId: string, signal: AbortSignal): Promise<Result<void, StoreError>> {
    const renewal = this.renewals++
    return await new Promise(resolve => {
      signal.addEventListener('abort', () => resolve(err({ kind: 'unavailable', code: 'STORE_UNAVAILABLE', maybeApplied: false, message: 'timeout' })))
      if (!this.loses(renewal)) this.process.outsideAfter(STORE_DELAY_MS, () => this.process.deliver(() => resolve(ok(undefined))))
    })
  }
}

/** Runs a lease for ten seconds; returns the times at which it was not valid. */
async function timesWithoutLease (loses: (renewal: number) => boolean): Promise<number[]> {
  const process = new VirtualProcess()
  process.install()
  const abort = new AbortController()
  try {
    const lease = new EntryLease(new LossyStore(process, loses) as unknown as Store, { ttlMs: TTL_MS, clock: process, logger: silentLogger, signal: abort.signal })
    lease.run(async () => {}).catch(assert.ifError)
    const invalidAt: number[] = []
    for (let at = 20; at <= 10_000; at += 20) {
      await process.run(at)
      if (lease.validLeaseId() === undefined) invalidAt.push(at)
    }
    return invalidAt
  } finally {
    abort.abort()
    process.uninstall()
  }
}

test('a lease stays valid although the response to every other renewal is lost', async () => {
  assert.deepEqual(await timesWithoutLease(renewal => renewal % 2 === 0), [])
})

test('a lease that may have expired is renewed no more often than usual', async () => {
  const process = new VirtualProcess()
  process.install()
  const abort = new AbortController()
  try {
    let renewals = 0
    const store = {
      grantLease: async () => ok('1'),
      keepAlive: async () => {
        renewals += 1
        return err({ kind: 'unavailable', code: 'STORE_UNAVAILABLE', maybeApplied: false, message: 'refused' })
      }
    } as unknown as Store
    new EntryLease(store, { ttlMs: TTL_MS, clock: process, logger: silentLogger, signal: abort.signal }).run(async () => {}).catch(assert.ifError)
    await process.run(2 * TTL_MS)
    const renewalsBefore = renewals
    await process.run(2 * TTL_MS + 10_000)
    assert.equal(renewals - renewalsBefore, 20)
  } finally {
    abort.abort()
    process.uninstall()
  }
})

test('a lease without any response is not used until it may have expired', async () => {
  const invalidAt = await timesWithoutLease(renewal => renewal >= 4)
  const [first] = invalidAt
  assert.ok(first !== undefined && first < 4 * 520 + TTL_MS, `first invalid at ${first} ms`)
  assert.equal(invalidAt.at(-1), 10_000)
})

/** A driver on a virtual clock that loses a share of all responses, after the calls have taken effect. */
class LossyDriver {
  leaseLosses = 0
  private leaseEndsAt = Number.NEGATIVE_INFINITY
  private readonly process: VirtualProcess
  private readonly opts: { readonly lostShare: number, seed: number }

  constructor (process: VirtualProcess, opts: { lostShare: number, seed: number }) {
    this.process = process
    this.opts = opts
  }

  async txn (_txn: unknown, signal: AbortSignal): Promise<Result<unknown, DriverError>> {
    return await this.reply(signal, () => ok({ succeeded: true, revision: 1 }))
  }

  async grantLease (ttlMs: number, signal: AbortSignal): Promise<Result<string, DriverError>> {
    return await this.reply(signal, () => {
      this.leaseEndsAt = this.process.now() + ttlMs
      return ok('1')
    })
  }

  async keepAlive (_leaseId: string, signal: AbortSignal): Promise<Result<void, DriverError>> {
    return await this.reply(signal, () => {
      if (this.leaseEndsAt < this.process.now()) {
        this.leaseLosses += 1
        return err({ kind: 'refused', code: 'lease-not-found', message: 'lease expired' })
      }
      this.leaseEndsAt = this.process.now() + TTL_MS
      return ok(undefined)
    })
  }

  private async reply<T> (signal: AbortSignal, takeEffect: () => Result<T, DriverError>): Promise<Result<T, DriverError>> {
    const isLost = this.random() < this.opts.lostShare
    return await new Promise(resolve => {
      onAbort(signal, () => resolve(err({ kind: 'lost', message: 'timeout' })))
      this.process.outsideAfter(STORE_DELAY_MS, () => {
        const result = takeEffect()
        if (!isLost) this.process.deliver(() => resolve(result))
      })
    })
  }

  private random (): number {
    this.opts.seed = (this.opts.seed * 1_103_515_245 + 12_345) % 2 ** 31
    return this.opts.seed / 2 ** 31
  }
}

// Lost responses to writes opened the circuit breaker of the store client, which then did not renew the lease.
for (const seed of [1, 2, 3]) {
  test(`a lease outlives a minute in which a third of the store's responses is lost (seed ${seed})`, async () => {
    const process = new VirtualProcess()
    process.install()
    const abort = new AbortController()
    try {
      const driver = new LossyDriver(process, { lostShare: 1 / 3, seed })
      const store = new StoreClient(driver as unknown as Driver, { readsPerSecond: 1e6, writesPerSecond: 1e6, metrics: new Metrics(), clock: process })
      const lease = new EntryLease(store, { ttlMs: TTL_MS, clock: process, logger: silentLogger, signal: abort.signal })
      lease.run(async () => {}).catch(assert.ifError)
      const writeRepeatedly = async (): Promise<void> => {
        while (await delay(100, abort.signal)) await store.update([{ key: 'a', prior: undefined, value: 1 }])
      }
      for (let writer = 0; writer < 4; writer++) writeRepeatedly().catch(assert.ifError)
      await process.run(60_000)
      assert.equal(driver.leaseLosses, 0)
    } finally {
      abort.abort()
      process.uninstall()
    }
  })
}
