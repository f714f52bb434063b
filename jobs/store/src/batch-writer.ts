import { delay, type Result } from '@wisteriaslip/core.result'
import type { Change, Store, StoreError } from '@wisteriaslip/store.client'

/** Options of {@link BatchWriter}. */
export interface BatchWriterOpts {
  /** Changes that come within this time go into one write, in milliseconds. */
  readonly batchWindowMs: number
  /** A batch with this many changes is written immediately. */
  readonly maxBatchChanges: number
}

interface PendingWrite {
  readonly changes: readonly Change[]
  readonly settle: (result: Result<number, StoreError>) => void
  readonly reject: (error: unknown) => void
}

/**
 * Writes the changes of callers' requests in batches. The changes of a request are applied all or none. Requests are independent of
 * each other: after a conflict or a rejected write each is written on its own, so that only the conflicting or rejected ones fail.
 */
export class BatchWriter {
  private readonly store: Store
  private readonly opts: BatchWriterOpts
  private waiting: PendingWrite[] = []
  private waitingChanges = 0
  private timerRunning = false

  constructor (store: Store, opts: BatchWriterOpts) {
    this.store = store
    this.opts = opts
  }

  /**
   * Adds the changes of a request to the next batch.
   * @param changes - changes of different keys, at most `maxBatchChanges`
   * @returns store revision of the write, or the store's error
   * @throws what the store client throws unexpectedly
   */
  async write (changes: readonly Change[]): Promise<Result<number, StoreError>> {
    return await new Promise((resolve, reject) => {
      if (this.waitingChanges + changes.length > this.opts.maxBatchChanges) this.flush()
      this.waiting.push({ changes, settle: resolve, reject })
      this.waitingChanges += changes.length
      if (this.waitingChanges >= this.opts.maxBatchChanges) this.flush()
      else if (!this.timerRunning) this.flushAfterWindow().catch(reject)
    })
  }

  private async flushAfterWindow (): Promise<void> {
    this.timerRunning = true
    await delay(this.opts.batchWindowMs, NEVER_ABORTED)
    this.timerRunning = false
    this.flush()
  }

  private flush (): void {
    const batch = this.waiting
    this.waiting = []
    this.waitingChanges = 0
    if (batch.length === 0) return
    this.commit(batch).catch(error => {
      for (const each of batch) each.reject(error)
    })
  }

  private async commit (batch: readonly PendingWrite[]): Promise<void> {
    const written = await this.store.update(batch.flatMap(each => each.changes), { forCaller: true })
    const canSplit = !written.ok && (written.error.kind === 'conflict' || written.error.kind === 'rejected')
    if (!canSplit || batch.length === 1) {
      for (const each of batch) each.settle(written)
      return
    }
    await Promise.all(batch.map(async each => { each.settle(await this.store.update(each.changes, { forCaller: true })) }))
  }
}

const NEVER_ABORTED = new AbortController().signal
