import assert from 'node:assert/strict'
import { test } from 'node:test'
import { delay, systemClock } from '@wisteriaslip/core.result'
import { silentLogger } from '@wisteriaslip/core.logger'
import { Metrics } from '@wisteriaslip/core.metrics'
import type { Store, WatchBatch } from '@wisteriaslip/store.client'
import { QuotaHolder } from '../src/holder.ts'
import { QuotaStore } from './quota-store.ts'

const ACCOUNTS = 20
const SERVICES = ['a', 'b', 'c', 'd', 'e']
const TASKS = 8
const TASK_MS = 800
const CALL_MS = 8
const WATCH_MS = 30
const demand = { cpu: 6_000, memMb: 0, accelerators: 0 }
/** More than all services ask for together. */
const quota = { cpu: 400_000, memMb: 0, accelerators: 0 }

/** A store whose calls and watches take time. */
class SlowStore extends QuotaStore {
  private readonly watchers: Array<(batch: WatchBatch) => void> = []

  override asStore (): Store {
    const slow = <T extends unknown[], R>(call: (...args: T) => Promise<R>) => async (...args: T) => {
      await delay(CALL_MS, AbortSignal.timeout(60_000))
      const result = await call(...args)
      await delay(CALL_MS, AbortSignal.timeout(60_000))
      return result
    }
    const update: Store['update'] = async (changes, opts) => {
      const result = await this.update(changes, opts)
      // The stand-in keeps documents decoded: the callers below take them as they are.
      const batch = { revision: this.revision, changed: changes.map(({ key }) => this.docs.get(key)), deleted: [] } as unknown as WatchBatch
      if (result.ok) setTimeout(() => this.watchers.forEach(watcher => watcher(batch)), WATCH_MS)
      return result
    }
    const watch = async (_prefix: string, _from: number, onBatch: (batch: WatchBatch) => void, signal: AbortSignal) => {
      this.watchers.push(onBatch)
      await delay(60_000, signal)
      return { kind: 'unavailable' }
    }
    return { get: slow(async (key: string) => await this.get(key)), list: slow(async (prefix: string) => await this.list(prefix)), update: slow(update), watch } as unknown as Store
  }
}

function createService (store: SlowStore, service: string) {
  const guard = { key: `leader/${service}`, createRevision: store.put(`leader/${service}`, {}) }
  const holder = new QuotaHolder({ service, token: 1, guard, store: store.asStore(), prefix: 'quotas/', account: name => ({ name, keyDigests: [], weight: 1, quota }), hasQuotas: () => true, clock: systemClock, logger: silentLogger, metrics: new Metrics(), onChange () {} })
  holder.book.apply = doc => holder.book.applyDoc(doc as never)
  const steps = Array.from({ length: ACCOUNTS }, (_, number) => ({ job: { job: { account: `t${number}` } }, waiting: TASKS, tasks: [], hasRun: false, spec: { demand, gang: false, backfill: false } }))
  const worker = { takesStarts: () => true, free: () => ({ cpu: 1e9, memMb: 1e9, accelerators: 0 }) }
  const scheduler = { table: { ready: new Set(steps) }, workers: new Map([['w', worker]]) } as unknown as Parameters<QuotaHolder['run']>[0]
  const pass = (): void => {
    holder.limiter.beginPass(() => ({ cpu: 0, memMb: 0, accelerators: 0 }))
    for (const step of steps) {
      while (step.waiting > 0 && holder.limiter.mayAdd(step as never, 1)) {
        const run = { task: { step }, phase: 'sending' } as never
        holder.limiter.noteRun(run)
        step.waiting -= 1
        step.hasRun = true
        setTimeout(() => { holder.limiter.forgetRun(run); step.waiting += 1 }, TASK_MS)
      }
    }
  }
  return { holder, scheduler, steps, pass }
}

test('each account runs in each service within 3 s if its quota is enough for all', async () => {
  const store = new SlowStore()
  const services = SERVICES.map(service => createService(store, service))
  const stop = new AbortController()
  const running = services.map(async ({ holder, scheduler }) => await holder.run(scheduler, stop.signal))
  for (const end = performance.now() + 3_000; performance.now() < end;) {
    for (const { pass } of services) pass()
    await delay(20, stop.signal)
  }
  stop.abort()
  await Promise.all(running)
  const without = services.flatMap(({ steps }) => steps).filter(({ hasRun }) => !hasRun)
  assert.equal(without.length, 0, `${without.length} of ${ACCOUNTS * SERVICES.length} have run nothing`)
})
