import assert from 'node:assert/strict'
import { test } from 'node:test'
import { err, ok, type Result } from '@wisteriaslip/core.result'
import { silentLogger } from '@wisteriaslip/core.logger'
import { EntryLease } from '@wisteriaslip/peers.membership'
import type { Store, StoreError } from '@wisteriaslip/store.client'
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

test('a lease without any response is not used until it may have expired', async () => {
  const invalidAt = await timesWithoutLease(renewal => renewal >= 4)
  const [first] = invalidAt
  assert.ok(first !== undefined && first < 4 * 520 + TTL_MS, `first invalid at ${first} ms`)
  assert.equal(invalidAt.at(-1), 10_000)
})
