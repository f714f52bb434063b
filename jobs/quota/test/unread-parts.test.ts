import assert from 'node:assert/strict'
import { test } from 'node:test'
import { delay, systemClock } from '@wisteriaslip/core.result'
import { silentLogger } from '@wisteriaslip/core.logger'
import { Metrics } from '@wisteriaslip/core.metrics'
import type { Store } from '@wisteriaslip/store.client'
import { QuotaHolder } from '../src/holder.ts'
import { faults, QuotaStore } from './quota-store.ts'

const cores = (count: number) => ({ cpu: count * 1_000, memMb: 0, accelerators: 0 })

/** A store whose watches end at once, or never show anything. */
function withoutWatch (store: QuotaStore, hangs: boolean): Store {
  const watch = async (_prefix: string, _from: number, _onBatch: unknown, signal: AbortSignal) => {
    if (hangs) await delay(60_000, signal)
    return { kind: 'unavailable', code: 'STORE_UNAVAILABLE', maybeApplied: false, message: 'no response' }
  }
  return Object.assign(Object.create(store), { watch }) as Store
}

// A new leader starts nothing of accounts with quotas before it has read their parts, which must not need a watch.
for (const hangs of [false, true]) {
  test(`a new term reads the parts once the store can be read, while its watch ${hangs ? 'shows nothing' : 'fails'}`, async () => {
    const store = new QuotaStore()
    const guard = { key: 'leader', createRevision: store.put('leader', {}) }
    store.put('quotas/team', { quota: cores(6), parts: { s: { given: cores(6) } } })
    store.nextFault = faults.away
    const stop = new AbortController()
    const holder = new QuotaHolder({ service: 's', token: 1, guard, store: withoutWatch(store, hangs), prefix: 'quotas/', account: name => ({ name, keyDigests: [], weight: 1, quota: cores(6) }), hasQuotas: () => true, clock: systemClock, logger: silentLogger, metrics: new Metrics(), onChange () {} })
    const scheduler = { table: { ready: new Set() }, workers: new Map() } as unknown as Parameters<QuotaHolder['run']>[0]
    const running = holder.run(scheduler, stop.signal)
    await delay(700, stop.signal)
    assert.equal(holder.book.isRead, false)
    store.nextFault = faults.none
    for (let passedMs = 0; passedMs < 5_000 && !holder.book.isRead; passedMs += 50) await delay(50, stop.signal)
    stop.abort()
    await running
    assert.equal(holder.book.isRead, true)
    assert.deepEqual(holder.book.given('team'), cores(6))
  })
}
