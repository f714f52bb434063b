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
  readonly change: Change
  readonly settle: (result: Result<number, StoreError>) => void
  readonly reject: (error: unknown) => void
}

/**
 * Writes independent changes of different keys, each for a request of a caller, in batches. After a conflict or a rejected
 * write each change is written on its own, so that only the conflicting or rejected changes fail.
 */
export class BatchWriter {
  private readonly store: Store
  private readonly opts: BatchWriterOpts
  private waiting: PendingWrite[] = []
  private timerRunning = false

  constructor (store: Store, opts: BatchWriterOpts) {
    this.store = store
    this.opts = opts
  }

  /**
   * Adds a change to the next batch.
   * @param change - change of one key
   * @returns store revision of the write, or the store's error
   * @throws what the store client throws unexpectedly
   */
  async write (change: Change): Promise<Result<number, StoreError>> {
    return await new Promise((resolve, reject) => {
      this.waiting.push({ change, settle: resolve, reject })
      if (this.waiting.length >= this.opts.maxBatchChanges) this.flush()
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
    if (batch.length === 0) return
    this.commit(batch).catch(error => {
      for (const each of batch) each.reject(error)
    })
  }

  private async commit (batch: readonly PendingWrite[]): Promise<void> {
    const written = await this.store.update(batch.map(each => each.change), { forCaller: true })
    const canSplit = !written.ok && (written.error.kind === 'conflict' || written.error.kind === 'rejected')
    if (!canSplit || batch.length === 1) {
      for (const each of batch) each.settle(written)
      return
    }
    await Promise.all(batch.map(async each => { each.settle(await this.store.update([each.change], { forCaller: true })) }))
  }
}

const NEVER_ABORTED = new AbortController().signal
