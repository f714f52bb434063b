import { delay, type Result } from '@wisteriaslip/core.result'
import type { Change, Store, StoreError } from '@wisteriaslip/store.client'

/** Options of {@link BatchWriter}. */
export interface BatchWriterOpts {
  /** Changes that come within this time go into one write, in milliseconds. */
  readonly batchWindowMs: number
  readonly maxBatchChanges: number
}

interface Waiting {
  readonly change: Change
  readonly settle: (result: Result<number, StoreError>) => void
}

/** Puts independent changes of different keys into common writes. A conflict is that of the one change only. */
export class BatchWriter {
  private readonly store: Store
  private readonly opts: BatchWriterOpts
  private waiting: Waiting[] = []
  private gathering = false

  constructor (store: Store, opts: BatchWriterOpts) {
    this.store = store
    this.opts = opts
  }

  /**
   * Writes a change together with others.
   * @param change - of one key
   * @returns the revision, or why it was not written
   */
  async write (change: Change): Promise<Result<number, StoreError>> {
    return await new Promise(resolve => {
      this.waiting.push({ change, settle: resolve })
      if (this.waiting.length >= this.opts.maxBatchChanges) this.flush()
      else if (!this.gathering) this.gather().catch(() => {})
    })
  }

  private async gather (): Promise<void> {
    this.gathering = true
    await delay(this.opts.batchWindowMs, NEVER)
    this.gathering = false
    this.flush()
  }

  private flush (): void {
    const group = this.waiting
    this.waiting = []
    if (group.length > 0) this.commit(group).catch(() => {})
  }

  private async commit (group: readonly Waiting[]): Promise<void> {
    const written = await this.store.update(group.map(each => each.change))
    if (written.ok || group.length === 1 || written.error.kind !== 'conflict') {
      for (const each of group) each.settle(written)
      return
    }
    await Promise.all(group.map(async each => { each.settle(await this.store.update([each.change])) }))
  }
}

const NEVER = new AbortController().signal
