import type { EntryState } from './state.ts'

/**
 * How an entry makes itself known: a mark, without lease, that it may hold slots, so that new leaders know whom to ask;
 * then its member record under its lease.
 */
export class Registration {
  private readonly state: EntryState
  private marked = false
  private markSeen = false
  private memberUnder: string | undefined
  private underWay: Promise<void> | undefined

  constructor (state: EntryState) {
    this.state = state
  }

  /** @returns whether the mark is written: only then may the entry hold slots */
  isMarked (): boolean {
    return this.marked
  }

  /** @returns whether the member record is written under the present lease */
  isMember (): boolean {
    const leaseId = this.state.lease.current()
    return leaseId !== undefined && this.memberUnder === leaseId
  }

  /** Writes what is missing. A call while another is under way waits for that one. */
  async ensure (): Promise<void> {
    this.underWay ??= this.write().finally(() => { this.underWay = undefined })
    await this.underWay
  }

  /** Removes the mark: the entry holds no slot any more. */
  async unmark (): Promise<void> {
    const { store } = this.state
    const key = this.markKey()
    const doc = await store.get(key)
    if (doc.ok && doc.value !== undefined) await store.update([{ key, prior: doc.value, value: undefined }])
  }

  private async write (): Promise<void> {
    const { lease, members, store, logger } = this.state
    if (this.wasUnmarked()) this.marked = false
    if (!this.marked) await this.mark()
    const leaseId = lease.current()
    if (!this.marked || leaseId === undefined || this.memberUnder === leaseId) return
    const registered = await members.register(store, leaseId)
    if (!registered.ok) return
    this.memberUnder = leaseId
    logger.info({ leaseId }, 'registered')
  }

  /** Nobody else writes this key: if it is there, an earlier try of ours was written whose reply was lost. */
  private async mark (): Promise<void> {
    const { store, members } = this.state
    const key = this.markKey()
    const written = await store.update([{ key, prior: undefined, value: { id: members.self.id } }])
    const present = written.ok ? undefined : await store.get(key)
    this.marked = written.ok || (present?.ok === true && present.value !== undefined)
    this.markSeen = false
  }

  /** An entry that was away for long may find its mark removed. */
  private wasUnmarked (): boolean {
    const present = this.state.mirror.get(this.markKey()) !== undefined
    this.markSeen = this.markSeen || present
    return this.markSeen && !present
  }

  private markKey (): string {
    return this.state.keys.holders + this.state.members.self.incarnation
  }
}
