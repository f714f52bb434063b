import { err, ok, type Result } from '@wisteriaslip/core.result'
import type { Driver, DriverError, DriverTxn, KeyRange, RangeOpts, WatchBatch } from '@wisteriaslip/store.client'
import { MemoryItems, selectPrefix } from './memory-items.ts'

/** Fault of a transaction of a {@link MemoryDriver}: the call is lost before it takes effect, or its reply afterwards. */
export type DriverFault = 'lose-reply' | 'lose-call' | 'fine'

/** In-memory store driver for tests that decide the outcome of each write. */
export class MemoryDriver implements Driver {
  /** Faults of the next transactions, in order; later transactions succeed. */
  readonly faults: DriverFault[] = []
  /** Awaited before each transaction takes effect. */
  beforeTxn: () => Promise<void> = async () => {}
  private readonly items = new MemoryItems()
  private readonly watchers = new Set<(batch: WatchBatch) => void>()

  constructor () {
    this.items.onCommit = batch => { for (const watcher of this.watchers) watcher(batch) }
  }

  async range (key: string, opts: RangeOpts): Promise<Result<KeyRange, DriverError>> {
    return ok(this.items.range(key, opts))
  }

  async txn (txn: DriverTxn): Promise<Result<{ succeeded: boolean, revision: number }, DriverError>> {
    const fault = this.faults.shift() ?? 'fine'
    await this.beforeTxn()
    if (fault === 'lose-call') return err({ kind: 'lost', message: 'call lost' })
    const applied = this.items.apply(txn)
    if (fault === 'lose-reply' && applied.ok) return err({ kind: 'lost', message: 'reply lost' })
    return applied
  }

  async grantLease (): Promise<Result<string, DriverError>> {
    return ok('lease')
  }

  async keepAlive (): Promise<Result<void, DriverError>> {
    return ok(undefined)
  }

  async revokeLease (): Promise<Result<void, DriverError>> {
    return ok(undefined)
  }

  async watch (prefix: string, fromRevision: number, onBatch: (batch: WatchBatch) => void, signal: AbortSignal): Promise<DriverError> {
    const deliver = (batch: WatchBatch): void => {
      const relevant = selectPrefix(batch, prefix)
      if (relevant !== undefined) onBatch(relevant)
    }
    for (const batch of this.items.changesFrom(prefix, fromRevision) ?? []) onBatch(batch)
    this.watchers.add(deliver)
    await new Promise(resolve => signal.addEventListener('abort', resolve, { once: true }))
    this.watchers.delete(deliver)
    return { kind: 'lost', message: 'ended' }
  }
}
