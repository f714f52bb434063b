import { linkAbort, delay, type Clock } from '@wisteriaslip/core.result'
import type { Logger } from '@wisteriaslip/core.logger'
import type { Store, WatchBatch } from '@wisteriaslip/store.client'
import type { Mirror } from './mirror.ts'

const PROBE_PERIOD_MS = 2_000
const RETRY_MS = 500

/** Options of {@link followStore}. */
export interface FollowOpts {
  readonly prefix: string
  readonly signal: AbortSignal
  readonly clock: Clock
  readonly logger: Logger
  readonly probePeriodMs?: number
}

/**
 * Keeps a mirror up to date from the store until the signal aborts: one reading, then a watch.
 * A silent watch is checked by reading what changed since; one that missed something is opened anew.
 * @param store - where to read
 * @param mirror - what to keep up to date
 * @param opts - key prefix, ending signal, clock, logger
 */
export async function followStore (store: Store, mirror: Mirror, opts: FollowOpts): Promise<void> {
  let fresh = false
  while (!opts.signal.aborted) {
    if (!fresh) fresh = await readAll(store, mirror, opts)
    if (fresh) fresh = await watchOnce(store, mirror, opts)
    await delay(RETRY_MS, opts.signal)
  }
}

async function readAll (store: Store, mirror: Mirror, opts: FollowOpts): Promise<boolean> {
  const all = await store.list(opts.prefix, { signal: opts.signal })
  if (!all.ok) {
    opts.logger.debug({ code: all.error.code }, 'store not readable')
    return false
  }
  mirror.replaceAll(all.value.revision, all.value.docs)
  return true
}

/** @returns whether the mirror still follows on without a new reading */
async function watchOnce (store: Store, mirror: Mirror, opts: FollowOpts): Promise<boolean> {
  const watch = linkAbort(opts.signal)
  const { signal } = watch
  let heardAt = opts.clock.now()
  const onBatch = (batch: WatchBatch): void => {
    heardAt = opts.clock.now()
    mirror.applyBatch(batch)
  }
  const probing = probeSilence(store, mirror, { ...opts, signal }, () => heardAt, () => watch.abort())
  const error = await store.watch(opts.prefix, mirror.revision() + 1, onBatch, signal)
  watch.abort()
  watch.release()
  await probing
  if (!opts.signal.aborted) opts.logger.info({ code: error.code }, 'watch ended')
  return error.kind !== 'compacted'
}

async function probeSilence (store: Store, mirror: Mirror, opts: FollowOpts, heardAt: () => number, endWatch: () => void): Promise<void> {
  const periodMs = opts.probePeriodMs ?? PROBE_PERIOD_MS
  while (await delay(periodMs, opts.signal)) {
    if (opts.clock.now() - heardAt() < periodMs) continue
    const missed = await readMissed(store, mirror, opts)
    if (!missed) continue
    opts.logger.warn('watch went silent; opening a new one')
    endWatch()
  }
}

/** @returns whether there was something that the watch had not brought */
async function readMissed (store: Store, mirror: Mirror, opts: FollowOpts): Promise<boolean> {
  const before = mirror.revision()
  const news = await store.list(opts.prefix, { minModRevision: before + 1, signal: opts.signal })
  if (!news.ok || mirror.revision() !== before) return false
  const added = news.value.docs.filter(doc => mirror.get(doc.key) === undefined).length
  const nothingDeleted = mirror.size() + added === news.value.count
  if (!nothingDeleted) {
    await readAll(store, mirror, opts)
    return true
  }
  if (news.value.docs.length === 0) return false
  mirror.merge({ from: before, to: news.value.revision, full: false, docs: news.value.docs, deleted: [] })
  return true
}
