import { delay, withTimeout, type Clock } from '@wisteriaslip/core.result'
import type { Logger } from '@wisteriaslip/core.logger'
import type { Driver, KeyRange, WatchBatch } from '@wisteriaslip/store.client'

const READ_TIMEOUT_MS = 900
const RETRY_MS = 150

/** Options of {@link followRaw}. */
export interface FollowRawOpts {
  readonly signal: AbortSignal
  readonly clock: Clock
  readonly logger: Logger
  /** Changes within this time may come together, in milliseconds. */
  readonly gatherMs: number
}

/** Copy of keys that others write in formats of their own. */
export class RawCopy {
  readonly prefix: string
  readonly texts = new Map<string, { readonly text: string, readonly revision: number }>()
  private readonly onChange: () => void
  private atRevision = 0

  /**
   * @param prefix - start of the keys
   * @param onChange - told after each change
   */
  constructor (prefix: string, onChange: () => void) {
    this.prefix = prefix
    this.onChange = onChange
  }

  /** @returns the revision up to which all changes are known */
  revision (): number {
    return this.atRevision
  }

  /** @param range - a reading of all keys */
  replaceAll (range: KeyRange): void {
    if (range.revision < this.atRevision) return
    const present = new Set(range.kvs.map(kv => kv.key))
    for (const [key, known] of [...this.texts]) {
      if (!present.has(key) && known.revision <= range.revision) this.texts.delete(key)
    }
    for (const kv of range.kvs) this.put(kv.key, kv.value, kv.modRevision)
    this.atRevision = range.revision
    this.onChange()
  }

  /** Forgets all keys; a new reading brings them back. */
  clear (): void {
    this.texts.clear()
    this.atRevision = 0
    this.onChange()
  }

  /** @param batch - of a watch */
  apply (batch: WatchBatch): void {
    for (const kv of batch.changed) this.put(kv.key, kv.value, kv.modRevision)
    for (const { key, modRevision } of batch.deleted) {
      if ((this.texts.get(key)?.revision ?? 0) < modRevision) this.texts.delete(key)
    }
    this.atRevision = Math.max(this.atRevision, batch.revision)
    if (batch.changed.length + batch.deleted.length > 0) this.onChange()
  }

  private put (key: string, text: string, revision: number): void {
    if ((this.texts.get(key)?.revision ?? 0) < revision) this.texts.set(key, { text, revision })
  }
}

/**
 * Keeps a copy up to date until the signal aborts: a reading, then a watch. While the watch fails, readings go on,
 * which may take the way through a peer.
 * @param driver - of the store
 * @param copy - to keep up to date
 * @param opts - ending signal, clock, logger
 */
export async function followRaw (driver: Driver, copy: RawCopy, opts: FollowRawOpts): Promise<void> {
  while (!opts.signal.aborted) {
    const all = await withTimeout(READ_TIMEOUT_MS, opts.signal, async signal => await driver.range(copy.prefix, { prefix: true, signal }))
    if (all.ok) {
      copy.replaceAll(all.value)
      const ended = await driver.watch(copy.prefix, copy.revision() + 1, batch => copy.apply(batch), opts.signal, { batchWindowMs: opts.gatherMs })
      if (!opts.signal.aborted) opts.logger.info({ prefix: copy.prefix, ended }, 'watch ended')
    }
    await delay(RETRY_MS, opts.signal)
  }
}
