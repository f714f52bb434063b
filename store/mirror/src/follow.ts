import { linkAbort, delay, type Clock } from '@wisteriaslip/core.result'
import type { Logger } from '@wisteriaslip/core.logger'
import type { Store, WatchBatch } from '@wisteriaslip/store.client'
import type { Mirror } from './mirror.ts'

const PROBE_PERIOD_MS = 2_000
const RETRY_DELAY_MS = 500

/** Options of {@link followStore}. */
export interface FollowOpts {
  /** Prefix of the keys to mirror. */
  readonly prefix: string
  readonly signal: AbortSignal
  readonly clock: Clock
  readonly logger: Logger
  /** Time without a batch after which a watch is checked against the store, in milliseconds. */
  readonly probePeriodMs?: number
}

/**
 * Keeps a mirror in sync with the store until the signal aborts: lists all keys once, then watches for changes.
 * A watch that delivers nothing for a probe period is checked by listing the changes since the mirror's revision; a
 * watch that missed any is replaced by a new one.
 * @param store - source of the documents
 * @param mirror - mirror to update
 * @param opts - key prefix, abort signal, clock and logger
 */
export async function followStore (store: Store, mirror: Mirror, opts: FollowOpts): Promise<void> {
  const progress: FollowProgress = { undecodable: 0 }
  let canContinueWatch = false
  while (!opts.signal.aborted) {
    if (!canContinueWatch) canContinueWatch = await readAll(store, mirror, opts, progress)
    if (canContinueWatch) canContinueWatch = await watchOnce(store, mirror, opts, progress)
    await delay(RETRY_DELAY_MS, opts.signal)
  }
}

/** What lasts from one list to the next. */
interface FollowProgress {
  /** Number of keys whose values could not be decoded in the last list; the store counts them, the mirror does not. */
  undecodable: number
}

async function readAll (store: Store, mirror: Mirror, opts: FollowOpts, progress: FollowProgress): Promise<boolean> {
  const all = await store.list(opts.prefix, { signal: opts.signal })
  if (!all.ok) {
    opts.logger.debug({ code: all.error.code }, 'failed to list the store')
    return false
  }
  const { undecodable } = all.value
  if (undecodable.length > 0 && undecodable.length !== progress.undecodable) opts.logger.warn({ keys: undecodable }, 'cannot decode the values of some keys; skipping them')
  progress.undecodable = undecodable.length
  mirror.replaceAll(all.value.revision, all.value.docs)
  return true
}

/** @returns whether the next watch can continue from the mirror's revision, without listing all keys again */
async function watchOnce (store: Store, mirror: Mirror, opts: FollowOpts, progress: FollowProgress): Promise<boolean> {
  const watch = linkAbort(opts.signal)
  const { signal } = watch
  let lastBatchAt = opts.clock.now()
  const onBatch = (batch: WatchBatch): void => {
    lastBatchAt = opts.clock.now()
    mirror.applyBatch(batch)
  }
  const probing = probeIdleWatch(store, mirror, { ...opts, signal }, progress, () => lastBatchAt, () => watch.abort())
  const error = await store.watch(opts.prefix, mirror.revision() + 1, onBatch, signal)
  watch.abort()
  watch.release()
  await probing
  if (!opts.signal.aborted) opts.logger.info({ code: error.code }, 'watch ended')
  return error.kind !== 'compacted'
}

async function probeIdleWatch (store: Store, mirror: Mirror, opts: FollowOpts, progress: FollowProgress, lastBatchAt: () => number, endWatch: () => void): Promise<void> {
  const periodMs = opts.probePeriodMs ?? PROBE_PERIOD_MS
  while (await delay(periodMs, opts.signal)) {
    if (opts.clock.now() - lastBatchAt() < periodMs) continue
    const missed = await readMissedChanges(store, mirror, opts, progress)
    if (!missed) continue
    opts.logger.warn('watch missed changes; opening a new one')
    endWatch()
  }
}

/** @returns whether the store holds changes that the watch did not deliver; they are applied to the mirror */
async function readMissedChanges (store: Store, mirror: Mirror, opts: FollowOpts, progress: FollowProgress): Promise<boolean> {
  const before = mirror.revision()
  const changes = await store.list(opts.prefix, { minModRevision: before + 1, signal: opts.signal })
  if (!changes.ok || mirror.revision() !== before) return false
  const added = changes.value.docs.filter(doc => mirror.get(doc.key) === undefined).length
  const nothingDeleted = mirror.size() + added + progress.undecodable === changes.value.count
  if (!nothingDeleted) {
    await readAll(store, mirror, opts, progress)
    return true
  }
  if (changes.value.docs.length === 0) return false
  mirror.merge({ from: before, to: changes.value.revision, full: false, docs: changes.value.docs, deleted: [] })
  return true
}
