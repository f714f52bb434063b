/**
 * Measures what the quotas of client accounts cost a leader: processor time of a start without accounts, with 20 and with 230, with the
 * holder's passes and all but the store's own time; and the writes. Time is virtual.
 * @module
 */
import { err, ok, type Result } from '@wisteriaslip/core.result'
import { silentLogger } from '@wisteriaslip/core.logger'
import { Metrics } from '@wisteriaslip/core.metrics'
import type { Account } from '@wisteriaslip/jobs.model'
import { QuotaHolder } from '@wisteriaslip/jobs.quota'
import type { Change, Store, StoreError, Versioned } from '@wisteriaslip/store.client'
import { SchedulingSimulation, type SimulatedAccounts } from './scheduling.ts'
import { round } from './statistics.ts'

const ACCOUNT_COUNTS = [0, 20, 230] as const
const LOADS = [1, 4] as const
const WORKERS = 128
const HOLDER_PASS_MS = 250
const REPEATS = 3
/** All capacity of the workers and more: the quota is checked, and never full. */
const QUOTA = { cpu: 100_000_000, memMb: 0, accelerators: 0 }
/** Twice what an account uses on average at load 1: it is often full at load 4. */
const tightQuota = (accounts: number): typeof QUOTA => ({ ...QUOTA, cpu: Math.ceil(WORKERS * 64_000 / Math.max(1, accounts)) })

/** Cost at one load. */
export interface AccountQuotasResult {
  readonly load: number
  /** Whether the quotas are small enough to be full. */
  readonly tight: boolean
  /** Processor time of a start by number of accounts, in microseconds: the least of several measurements. */
  readonly startUsByAccounts: Readonly<Record<string, number>>
  /** Writes of the service in 4 s, by number of accounts. */
  readonly writesByAccounts: Readonly<Record<string, number>>
}

/**
 * Measures all numbers of accounts, in turn.
 * @returns a result for each load
 */
export async function benchAccountQuotas (): Promise<AccountQuotasResult[]> {
  const results: AccountQuotasResult[] = []
  for (const tight of [false, true]) {
    for (const load of LOADS) {
      const startUs = new Map<number, number>()
      const writes = new Map<number, number>()
      for (let repeat = 0; repeat < REPEATS; repeat++) {
        for (const accounts of ACCOUNT_COUNTS) {
          const store = new MemoryStore()
          const simulated = accounts === 0 ? undefined : simulateAccounts(accounts, { store, tight })
          const cost = await new SchedulingSimulation(WORKERS, load, simulated).measureStartUs()
          startUs.set(accounts, Math.min(startUs.get(accounts) ?? Infinity, cost))
          writes.set(accounts, store.writes)
        }
      }
      results.push({ load, tight, startUsByAccounts: Object.fromEntries([...startUs].map(([accounts, us]) => [accounts, round(us, 1)])), writesByAccounts: Object.fromEntries(writes) })
    }
  }
  return results
}

function simulateAccounts (count: number, { store, tight }: { store: MemoryStore, tight: boolean }): SimulatedAccounts {
  const quota = tight ? tightQuota(count) : QUOTA
  const accounts = new Map<string, Account>(Array.from({ length: count }, (_, number) => [`account-${number}`, { name: `account-${number}`, keyDigests: [], weight: 1, quota }]))
  let now = 0
  const clock = { now: () => now }
  const holder = new QuotaHolder({ service: 's', token: 1, guard: { key: 'leader', createRevision: 1 }, store: store as unknown as Store, prefix: 'quotas/', account: name => accounts.get(name), hasQuotas: () => true, clock, logger: silentLogger, metrics: new Metrics(), onChange () {} })
  let passAt = 0
  return {
    limiter: holder.limiter,
    accountOf: job => `account-${job % count}`,
    async beforePass (scheduler, at) {
      now = at
      if (at < passAt) return
      passAt = at + HOLDER_PASS_MS
      await holder.step(scheduler)
    }
  }
}

/** A store whose calls take no time. */
class MemoryStore {
  writes = 0
  private revision = 1
  private readonly docs = new Map<string, Versioned>()

  async list (): Promise<Result<unknown, StoreError>> {
    return ok({ revision: this.revision, count: this.docs.size, docs: [...this.docs.values()], undecodable: [] })
  }

  async get (key: string): Promise<Result<Versioned | undefined, StoreError>> {
    return ok(this.docs.get(key))
  }

  async update (changes: readonly Change[]): Promise<Result<number, StoreError>> {
    const isCurrent = changes.every(({ key, prior }) => this.docs.get(key)?.modRevision === prior?.modRevision)
    if (!isCurrent) return err({ kind: 'conflict', code: 'STORE_CONFLICT', message: 'changed' })
    this.writes += 1
    this.revision += 1
    for (const { key, value } of changes) this.docs.set(key, { key, value, createRevision: 1, modRevision: this.revision, writeIds: [] })
    return ok(this.revision)
  }
}
