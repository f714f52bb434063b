import type { EntryState } from './state.ts'

/**
 * Registers an entry. It first writes a holder record without a lease, which states that the entry may hold slots and
 * tells new leaders from which entries to expect reports; then its member record under its lease.
 */
export class Registration {
  private readonly state: EntryState
  private holderRecordWritten = false
  private holderRecordSeen = false
  private registeredLeaseId: string | undefined
  private ongoingRegistration: Promise<void> | undefined

  constructor (state: EntryState) {
    this.state = state
  }

  /** @returns whether the holder record is written; only then may the entry hold slots */
  hasHolderRecord (): boolean {
    return this.holderRecordWritten
  }

  /** @returns whether the member record is written under the current lease */
  isMember (): boolean {
    const leaseId = this.state.lease.validLeaseId()
    return leaseId !== undefined && this.registeredLeaseId === leaseId
  }

  /** Writes the records that are missing. A call made while another is in progress waits for that one instead. */
  async ensureRegistered (): Promise<void> {
    this.ongoingRegistration ??= this.writeMissingRecords().finally(() => { this.ongoingRegistration = undefined })
    await this.ongoingRegistration
  }

  /** Removes the holder record. To be called only once the entry uses no slots any more. */
  async removeHolderRecord (): Promise<void> {
    const { store } = this.state
    const key = this.holderRecordKey()
    const doc = await store.get(key)
    if (doc.ok && doc.value !== undefined) await store.update([{ key, prior: doc.value, value: undefined }])
  }

  private async writeMissingRecords (): Promise<void> {
    const { lease, members, store, logger } = this.state
    if (this.wasHolderRecordRemoved()) this.holderRecordWritten = false
    if (!this.holderRecordWritten) await this.writeHolderRecord()
    const leaseId = lease.validLeaseId()
    if (!this.holderRecordWritten || leaseId === undefined || this.registeredLeaseId === leaseId) return
    const registered = await members.register(store, leaseId)
    if (!registered.ok) return
    this.registeredLeaseId = leaseId
    logger.info({ leaseId }, 'registered')
  }

  /** No other entry writes this key: if it exists, an earlier write of this entry succeeded and its reply was lost. */
  private async writeHolderRecord (): Promise<void> {
    const { store, members } = this.state
    const key = this.holderRecordKey()
    const written = await store.update([{ key, prior: undefined, value: { id: members.self.id } }])
    const existing = written.ok ? undefined : await store.get(key)
    this.holderRecordWritten = written.ok || (existing?.ok === true && existing.value !== undefined)
    this.holderRecordSeen = false
  }

  /** The fleet's leader removes the holder record of an entry that was disconnected for long. */
  private wasHolderRecordRemoved (): boolean {
    const isPresent = this.state.mirror.get(this.holderRecordKey()) !== undefined
    this.holderRecordSeen = this.holderRecordSeen || isPresent
    return this.holderRecordSeen && !isPresent
  }

  private holderRecordKey (): string {
    return this.state.keys.holders + this.state.members.self.incarnation
  }
}
