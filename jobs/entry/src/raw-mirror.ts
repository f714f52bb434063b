import { delay, withTimeout, type Clock } from '@wisteriaslip/core.result'
import type { Logger } from '@wisteriaslip/core.logger'
import type { Driver, KeyRange, RawKeyValue, WatchBatch } from '@wisteriaslip/store.client'

const READ_TIMEOUT_MS = 900
const RETRY_DELAY_MS = 150

/** Options of {@link followRawKeys}. */
export interface FollowRawKeysOpts {
  readonly signal: AbortSignal
  readonly clock: Clock
  readonly logger: Logger
  /** Changes within this time may be delivered as one batch, in milliseconds. */
  readonly batchWindowMs: number
}

/** A mirrored value with its revisions. */
export interface RawText {
  readonly text: string
  /** Revision of the latest change. */
  readonly revision: number
  readonly createRevision: number
}

/** Local replica of store keys whose values are not in the envelope of the store client. */
export class RawMirror {
  readonly prefix: string
  readonly texts = new Map<string, RawText>()
  private readonly onChange: () => void
  private currentRevision = 0

  /**
   * @param prefix - prefix of the mirrored keys
   * @param onChange - called after each change
   */
  constructor (prefix: string, onChange: () => void) {
    this.prefix = prefix
    this.onChange = onChange
  }

  /** @returns the revision up to which all changes are applied, 0 before the first snapshot */
  revision (): number {
    return this.currentRevision
  }

  /**
   * Applies a snapshot unless it is older than the mirror; keys that changed after it are kept.
   * @param range - all keys of the prefix
   */
  applySnapshot (range: KeyRange): void {
    if (range.revision < this.currentRevision) return
    const snapshotKeys = new Set(range.kvs.map(kv => kv.key))
    for (const [key, mirrored] of [...this.texts]) {
      if (!snapshotKeys.has(key) && mirrored.revision <= range.revision) this.texts.delete(key)
    }
    for (const kv of range.kvs) this.put(kv)
    this.currentRevision = range.revision
    this.onChange()
  }

  /** Removes all keys; the next snapshot restores them. */
  clear (): void {
    this.texts.clear()
    this.currentRevision = 0
    this.onChange()
  }

  /** @param batch - changes that a watch delivered */
  apply (batch: WatchBatch): void {
    for (const kv of batch.changed) this.put(kv)
    for (const { key, modRevision } of batch.deleted) {
      if ((this.texts.get(key)?.revision ?? 0) < modRevision) this.texts.delete(key)
    }
    this.currentRevision = Math.max(this.currentRevision, batch.revision)
    if (batch.changed.length + batch.deleted.length > 0) this.onChange()
  }

  private put ({ key, value, modRevision, createRevision }: RawKeyValue): void {
    if ((this.texts.get(key)?.revision ?? 0) < modRevision) this.texts.set(key, { text: value, revision: modRevision, createRevision })
  }
}

/**
 * Keeps a mirror up to date until the signal aborts: reads a snapshot, then watches. While the watch fails it keeps
 * reading snapshots, which the driver may relay through a peer.
 * @param driver - driver of the store
 * @param mirror - the mirror to update
 * @param opts - abort signal, clock, logger, batch window of the watch
 */
export async function followRawKeys (driver: Driver, mirror: RawMirror, opts: FollowRawKeysOpts): Promise<void> {
  while (!opts.signal.aborted) {
    const snapshot = await withTimeout(READ_TIMEOUT_MS, opts.signal, async (signal, onProgress) => await driver.range(mirror.prefix, { prefix: true, signal, onProgress }))
    if (snapshot.ok) {
      mirror.applySnapshot(snapshot.value)
      const ended = await driver.watch(mirror.prefix, mirror.revision() + 1, batch => mirror.apply(batch), opts.signal, { batchWindowMs: opts.batchWindowMs })
      if (!opts.signal.aborted) opts.logger.info({ prefix: mirror.prefix, ended }, 'watch ended')
    }
    await delay(RETRY_DELAY_MS, opts.signal)
  }
}
