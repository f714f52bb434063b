import { err, ok, type Result } from '@wisteriaslip/core.result'
import type { DriverError, DriverTxn, KeyRange, RangeOpts, RawKeyValue, WatchBatch } from '@wisteriaslip/store.client'

const MAX_TXN_ENTRIES = 32
const MAX_VALUE_BYTES = 1_048_576

function isTooLarge ({ guards, puts, deletes }: DriverTxn): boolean {
  return guards.length + puts.length + deletes.length > MAX_TXN_ENTRIES || puts.some(({ value }) => Buffer.byteLength(value) > MAX_VALUE_BYTES)
}

/** Key-value pairs with their revisions and history: what a store in memory holds, whoever reaches it and how. */
export class MemoryItems {
  /** Called after each change. */
  onCommit: (batch: WatchBatch) => void = () => {}
  private readonly items = new Map<string, RawKeyValue>()
  private history: WatchBatch[] = []
  private revision = 1
  /** Changes up to this revision are forgotten. */
  private compactedRevision = 0

  /** @returns the revision of the latest change */
  currentRevision (): number {
    return this.revision
  }

  /**
   * @param key - key to read, or the prefix of the keys
   * @param opts - whether it is a prefix, and the least revision of the pairs
   * @returns the pairs as they are now
   */
  range (key: string, opts: RangeOpts): KeyRange {
    const all = [...this.items.values()].filter(item => opts.prefix === true ? item.key.startsWith(key) : item.key === key)
    const kvs = all.filter(item => item.modRevision >= (opts.minModRevision ?? 0))
    return { revision: this.revision, count: all.length, kvs }
  }

  /**
   * Applies a transaction if all its guards hold.
   * @param txn - the transaction
   * @returns whether it was applied; an error if it exceeds the limits of a store
   */
  apply (txn: DriverTxn): Result<{ succeeded: boolean, revision: number }, DriverError> {
    if (isTooLarge(txn)) return err({ kind: 'refused', code: 'invalid', message: 'the transaction is too large' })
    const succeeded = txn.guards.every(guard => this.isSatisfied(guard))
    if (succeeded) this.commit(txn)
    return ok({ succeeded, revision: this.revision })
  }

  /**
   * @param prefix - prefix of the keys
   * @param fromRevision - first revision of interest
   * @returns the changes of these keys since then; undefined if some of them are forgotten
   */
  changesFrom (prefix: string, fromRevision: number): WatchBatch[] | undefined {
    if (fromRevision <= this.compactedRevision) return undefined
    const first = this.history.findLastIndex(({ revision }) => revision < fromRevision) + 1
    return this.history.slice(first).flatMap(batch => {
      const relevant = selectPrefix(batch, prefix)
      return relevant === undefined ? [] : [relevant]
    })
  }

  /** Forgets the history up to a revision. */
  compact (revision: number): void {
    this.compactedRevision = Math.max(this.compactedRevision, Math.min(revision, this.revision))
    this.history = this.history.filter(batch => batch.revision > this.compactedRevision)
  }

  private isSatisfied (guard: DriverTxn['guards'][number]): boolean {
    const item = this.items.get(guard.key)
    const modRevisionMatches = guard.modRevision === undefined || guard.modRevision === (item?.modRevision ?? 0)
    const createRevisionMatches = guard.createRevision === undefined || guard.createRevision === (item?.createRevision ?? 0)
    return modRevisionMatches && createRevisionMatches
  }

  private commit (txn: DriverTxn): void {
    this.revision += 1
    const changed = txn.puts.map(put => ({ key: put.key, value: put.value, createRevision: this.items.get(put.key)?.createRevision ?? this.revision, modRevision: this.revision }))
    for (const item of changed) this.items.set(item.key, item)
    const deleted = txn.deletes.filter(key => this.items.delete(key)).map(key => ({ key, modRevision: this.revision }))
    const batch = { revision: this.revision, changed, deleted }
    this.history.push(batch)
    this.onCommit(batch)
  }
}

/**
 * @param batch - changes of any keys
 * @param prefix - prefix of the keys of interest
 * @returns the changes of these keys; undefined if there are none
 */
export function selectPrefix (batch: WatchBatch, prefix: string): WatchBatch | undefined {
  const changed = batch.changed.filter(item => item.key.startsWith(prefix))
  const deleted = batch.deleted.filter(item => item.key.startsWith(prefix))
  return changed.length + deleted.length > 0 ? { revision: batch.revision, changed, deleted } : undefined
}
