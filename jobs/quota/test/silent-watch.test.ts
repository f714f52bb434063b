import assert from 'node:assert/strict'
import { test } from 'node:test'
import { delay, systemClock } from '@wisteriaslip/core.result'
import { silentLogger } from '@wisteriaslip/core.logger'
import { Metrics } from '@wisteriaslip/core.metrics'
import type { Store } from '@wisteriaslip/store.client'
import { QuotaHolder } from '../src/holder.ts'
import type { QuotaRecord } from '../src/parts.ts'
import { QuotaStore } from './quota-store.ts'

const KEY = 'quotas/team'
const cores = (count: number) => ({ cpu: count * 1_000, memMb: 0, accelerators: 0 })

interface Watches {
  opened: number
}

/** A store whose watches show nothing, and end only when they are ended. */
function silent (store: QuotaStore, watches: Watches): Store {
  const watch = async (_prefix: string, _from: number, _onBatch: unknown, signal: AbortSignal) => {
    watches.opened += 1
    await delay(60_000, signal)
    return { kind: 'unavailable', code: 'STORE_UNAVAILABLE', maybeApplied: false, message: 'ended' }
  }
  return Object.assign(Object.create(store), { watch }) as Store
}

test('what a silent watch does not show is read, and another watch is opened', async () => {
  const store = new QuotaStore()
  const guard = { key: 'leader', createRevision: store.put('leader', {}) }
  store.put(KEY, { quota: cores(6), parts: { s: { given: cores(6) } } })
  const watches = { opened: 0 }
  const stop = new AbortController()
  const holder = new QuotaHolder({ service: 's', token: 1, guard, store: silent(store, watches), prefix: 'quotas/', account: name => ({ name, keyDigests: [], weight: 1, quota: cores(6) }), hasQuotas: () => true, clock: systemClock, logger: silentLogger, metrics: new Metrics(), onChange () {} })
  const scheduler = { table: { ready: new Set() }, workers: new Map() } as unknown as Parameters<QuotaHolder['run']>[0]
  const running = holder.run(scheduler, stop.signal)
  await delay(300, stop.signal)
  holder.limiter.beginPass(() => cores(0))
  store.put(KEY, { quota: cores(6), parts: { s: { given: cores(6) }, other: { given: cores(0), wants: { total: cores(6), atOnce: cores(1), turn: 1 } } } })
  await delay(4_000, stop.signal)
  stop.abort()
  await running
  assert.equal((store.docs.get(KEY)?.value as QuotaRecord).parts.s, undefined)
  assert.ok(watches.opened > 1)
})
