import { ALLOTMENT_TTL_MS } from '@wisteriaslip/routing.slots'
import { fleetResource } from './resources.ts'
import type { EntryState } from './state.ts'

/** Added to the time after which an entry without contact certainly uses no slots any more. */
const REMOVAL_MARGIN_MS = 30_000
const MAX_DELETES_PER_STEP = 8

/** Removes the holder records of entries that are gone for good, so that new leaders do not wait for these entries. */
export class HolderRecordCleaner {
  private readonly state: EntryState
  private readonly absentSince = new Map<string, number>()

  constructor (state: EntryState) {
    this.state = state
  }

  /** Removes a limited number of records. Does nothing unless this entry is the fleet's leader. */
  async step (): Promise<void> {
    const { leadership, keys, mirror, store, logger } = this.state
    const token = leadership.token(fleetResource)
    if (token === undefined) return
    const removable = this.findRemovableIncarnations().slice(0, MAX_DELETES_PER_STEP)
    if (removable.length === 0) return
    const changes = removable.map(incarnation => {
      const key = keys.holders + incarnation
      return { key, prior: mirror.get(key), value: undefined }
    })
    const deleted = await store.update(changes, { guards: [leadership.guard(fleetResource, token)] })
    if (deleted.ok) logger.info({ dead: removable }, 'removed holder records of entries that are gone')
  }

  private findRemovableIncarnations (): string[] {
    const { members, keys, mirror, clock } = this.state
    const liveIncarnations = new Set(members.all().map(member => member.incarnation))
    const recordedIncarnations = mirror.list(keys.holders).map(doc => doc.key.slice(keys.holders.length))
    const now = clock.now()
    for (const incarnation of this.absentSince.keys()) {
      if (liveIncarnations.has(incarnation) || !recordedIncarnations.includes(incarnation)) this.absentSince.delete(incarnation)
    }
    const removalDelayMs = ALLOTMENT_TTL_MS + this.longestRunMs() + REMOVAL_MARGIN_MS
    return recordedIncarnations.filter(incarnation => {
      if (liveIncarnations.has(incarnation)) return false
      const since = this.absentSince.get(incarnation) ?? now
      this.absentSince.set(incarnation, since)
      return now - since >= removalDelayMs
    })
  }

  private longestRunMs (): number {
    const config = this.state.documents.config()
    return Math.max(0, ...(config?.workloads ?? []).map(workload => workload.maxRunMs))
  }
}
