import type { Wave } from '@wisteriaslip/jobs.model'
import type { WaveRecord, WaveRecordStore } from './ports.ts'

/** The records of waves as stored, and the changes to them. */
export class WaveRecords {
  private readonly store: WaveRecordStore
  private stored: ReadonlyMap<number, WaveRecord> | undefined
  /** Whether `stored` is what the store holds: a write that is answered as failed may have taken effect. */
  private isCertain = true
  private writes: Promise<boolean> = Promise.resolve(true)
  private pendingWrites = 0

  /** @param store - durable records */
  constructor (store: WaveRecordStore) {
    this.store = store
  }

  /**
   * Reads the records of earlier leaders once.
   * @returns whether they are known
   */
  async read (): Promise<boolean> {
    this.stored ??= await this.store.read()
    return this.stored !== undefined
  }

  /**
   * @param wave - a wave as its document declares it
   * @returns the record about this wave, undefined if there is none or it is about another wave
   */
  about (wave: Wave): WaveRecord | undefined {
    const record = this.stored?.get(wave.number)
    return record !== undefined && isAbout(record, wave) ? record : undefined
  }

  /**
   * @param wave - a wave as its document declares it
   * @returns whether it is recorded as completed with this document
   */
  isCompleted (wave: Wave): boolean {
    const record = this.about(wave)
    return record !== undefined && record.completed && record.revision === wave.revision
  }

  /**
   * @param number - number of a wave
   * @returns ids of the VMs for which a request may take effect for the wave that has this number now, whichever had it before
   */
  requestedUnder (number: number): readonly string[] {
    return this.stored?.get(number)?.requested ?? []
  }

  /**
   * Writes records, if they differ from those stored.
   * @param changes - records by number of the wave
   * @returns whether they are stored
   */
  async save (changes: ReadonlyMap<number, WaveRecord>): Promise<boolean> {
    this.pendingWrites += 1
    this.writes = this.writes.then(async () => await this.write(changes)).finally(() => { this.pendingWrites -= 1 })
    return await this.writes
  }

  /**
   * Writes the turns of drains, if nothing else has changed; otherwise they go with that. Whether requests are recorded is as certain
   * afterwards as before, also without a response.
   * @param changes - records by number of the wave
   */
  async saveTurns (changes: ReadonlyMap<number, WaveRecord>): Promise<void> {
    this.pendingWrites += 1
    const written = this.writes.then(async () => { await this.writeTurns(changes) })
    this.writes = written.then(() => true).finally(() => { this.pendingWrites -= 1 })
    await written
  }

  /** @returns whether records are being written */
  isBusy (): boolean {
    return this.pendingWrites > 0
  }

  /**
   * @param wave - a wave as its document declares it
   * @param vm - id of a VM
   * @returns whether it is recorded that a request for the VM may take effect
   */
  isRequested (wave: Wave, vm: string): boolean {
    return this.isCertain && this.about(wave)?.requested.includes(vm) === true
  }

  private async writeTurns (changes: ReadonlyMap<number, WaveRecord>): Promise<void> {
    const { stored } = this
    if (stored === undefined || !this.isCertain || !isProgressStored(changes, stored)) return
    if ([...changes].every(([number, { turns }]) => JSON.stringify(turns) === JSON.stringify(stored.get(number)?.turns))) return
    const records = new Map([...stored, ...changes])
    if (await this.store.write(records).catch(() => false)) this.stored = records
  }

  private async write (changes: ReadonlyMap<number, WaveRecord>): Promise<boolean> {
    const stored = this.stored ?? new Map<number, WaveRecord>()
    if (this.isCertain && isProgressStored(changes, stored)) return true
    const records = new Map([...stored, ...changes])
    this.isCertain = false
    this.isCertain = await this.store.write(records).catch(() => false)
    if (this.isCertain) this.stored = records
    return this.isCertain
  }
}

/**
 * Returns whether a record is about the wave as its document declares it now. A document that was deleted and created again
 * is another wave, as is one that names some VMs of a completed wave no longer and others instead: its number is used again.
 */
function isAbout (record: WaveRecord, wave: Wave): boolean {
  if (record.createRevision !== undefined && record.createRevision !== wave.createRevision) return false
  if (!record.completed || record.revision === wave.revision) return true
  const before = new Set([...record.begun, ...record.gone])
  const kept = wave.vms.filter(vm => before.has(vm)).length
  return kept === before.size || kept === wave.vms.length
}

function isProgressStored (changes: ReadonlyMap<number, WaveRecord>, stored: ReadonlyMap<number, WaveRecord>): boolean {
  return [...changes].every(([number, record]) => progressKey(record) === progressKey(stored.get(number)))
}

function progressKey (record: WaveRecord | undefined): string {
  if (record === undefined) return ''
  const { createRevision, revision, begun, requested, gone, completed, reported } = record
  return JSON.stringify([createRevision, revision, [...begun].sort(), [...requested].sort(), [...gone].sort(), completed, reported])
}

/**
 * Older versions recorded VMs that were in maintenance for another wave, too: of their records only those of completed waves
 * count, whose documents name no other VM.
 * @param record - the record about a wave
 * @param wave - the wave as its document declares it
 * @returns ids of the VMs whose maintenance for the wave has begun
 */
export function begunVms (record: WaveRecord, wave: Wave): readonly string[] {
  const isOldCompletion = record.revision === undefined && record.completed && wave.vms.every(vm => record.begun.includes(vm))
  return record.revision !== undefined || isOldCompletion ? record.begun : []
}
