import { err, ok, type Result } from '@wisteriaslip/core.result'
import type { Driver, DriverError, DriverTxn, KeyRange, RangeOpts, RawKeyValue, WatchBatch } from '@wisteriaslip/store.client'

/** What happens to the next calls of a {@link MemoryDriver}, in order; then all go well. */
export type DriverFault = 'lose-reply' | 'lose-call' | 'fine'

/** Store driver in memory, for tests that decide the fate of each write. */
export class MemoryDriver implements Driver {
  readonly faults: DriverFault[] = []
  /** Awaited before each transaction takes effect. */
  beforeTxn: () => Promise<void> = async () => {}
  private readonly items = new Map<string, RawKeyValue>()
  private readonly watchers = new Set<(batch: WatchBatch) => void>()
  private readonly history: WatchBatch[] = []
  private revision = 1

  async range (key: string, opts: RangeOpts): Promise<Result<KeyRange, DriverError>> {
    const all = [...this.items.values()].filter(item => opts.prefix === true ? item.key.startsWith(key) : item.key === key)
    const kvs = all.filter(item => item.modRevision >= (opts.minModRevision ?? 0))
    return ok({ revision: this.revision, count: all.length, kvs })
  }

  async txn (txn: DriverTxn): Promise<Result<{ succeeded: boolean, revision: number }, DriverError>> {
    const fault = this.faults.shift() ?? 'fine'
    await this.beforeTxn()
    if (fault === 'lose-call') return err({ kind: 'lost', message: 'call lost' })
    const succeeded = txn.guards.every(guard => this.holds(guard))
    if (succeeded) this.commit(txn)
    if (fault === 'lose-reply') return err({ kind: 'lost', message: 'reply lost' })
    return ok({ succeeded, revision: this.revision })
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
    const tell = (batch: WatchBatch): void => {
      const changed = batch.changed.filter(item => item.key.startsWith(prefix))
      const deleted = batch.deleted.filter(item => item.key.startsWith(prefix))
      if (changed.length + deleted.length > 0) onBatch({ revision: batch.revision, changed, deleted })
    }
    for (const batch of this.history) if (batch.revision >= fromRevision) tell(batch)
    this.watchers.add(tell)
    await new Promise(resolve => signal.addEventListener('abort', resolve, { once: true }))
    this.watchers.delete(tell)
    return { kind: 'lost', message: 'ended' }
  }

  private holds (guard: DriverTxn['guards'][number]): boolean {
    const item = this.items.get(guard.key)
    const modFits = guard.modRevision === undefined || guard.modRevision === (item?.modRevision ?? 0)
    const createFits = guard.createRevision === undefined || guard.createRevision === (item?.createRevision ?? 0)
    return modFits && createFits
  }

  private commit (txn: DriverTxn): void {
    this.revision += 1
    const changed = txn.puts.map(put => ({ key: put.key, value: put.value, createRevision: this.items.get(put.key)?.createRevision ?? this.revision, modRevision: this.revision }))
    for (const item of changed) this.items.set(item.key, item)
    const deleted = txn.deletes.filter(key => this.items.delete(key)).map(key => ({ key, modRevision: this.revision }))
    const batch = { revision: this.revision, changed, deleted }
    this.history.push(batch)
    for (const watcher of this.watchers) watcher(batch)
  }
}
