import type { WaveRecord, WaveRecordStore } from '@wisteriaslip/jobs.fleet'
import { toVersioned, type Guard, type Store, type Versioned } from '@wisteriaslip/store.client'

/** Stored document: the records of all waves, by wave number. */
type WaveDocument = Readonly<Record<string, WaveRecord>>

/** Keeps wave records in the store; writes are fenced by the fleet leader's token. */
export class StoredWaveRecords implements WaveRecordStore {
  private readonly store: Store
  private readonly opts: { key: string, guard: Guard }
  private prior: Versioned | undefined

  /**
   * @param store - store that holds the records
   * @param opts - key of the document, and the guard that fences writes of former leaders
   */
  constructor (store: Store, opts: { key: string, guard: Guard }) {
    this.store = store
    this.opts = opts
  }

  async read (): Promise<ReadonlyMap<number, WaveRecord> | undefined> {
    const doc = await this.store.get(this.opts.key)
    if (!doc.ok) return undefined
    this.prior = doc.value
    return new Map(Object.entries((doc.value?.value ?? {}) as WaveDocument).map(([wave, record]) => [Number(wave), record]))
  }

  async write (records: ReadonlyMap<number, WaveRecord>): Promise<boolean> {
    const value: WaveDocument = Object.fromEntries(records)
    const change = { key: this.opts.key, prior: this.prior, value }
    const written = await this.store.update([change], { guards: [this.opts.guard] })
    if (!written.ok) {
      if (written.error.kind === 'conflict') await this.read()
      return false
    }
    this.prior = toVersioned(change, written.value)
    return true
  }
}
