import { ALLOTMENT_TTL_MS } from '@wisteriaslip/routing.slots'
import { fleetResource } from './resources.ts'
import type { EntryState } from './state.ts'

/** Beyond the time after which an entry without contact surely uses no slot any more. */
const GRACE_MS = 30_000
const DELETES_PER_STEP = 8

/** Removes the marks of entries that are gone for good, so that new leaders do not wait for them. */
export class DeadHolders {
  private readonly state: EntryState
  private readonly missingSince = new Map<string, number>()

  constructor (state: EntryState) {
    this.state = state
  }

  /** One step; only the fleet's leader removes marks. */
  async step (): Promise<void> {
    const { leadership, keys, mirror, store, logger } = this.state
    const token = leadership.token(fleetResource)
    if (token === undefined) return
    const dead = this.dead().slice(0, DELETES_PER_STEP)
    if (dead.length === 0) return
    const changes = dead.map(incarnation => {
      const key = keys.holders + incarnation
      return { key, prior: mirror.get(key), value: undefined }
    })
    const deleted = await store.update(changes, { guards: [leadership.guard(fleetResource, token)] })
    if (deleted.ok) logger.info({ dead }, 'marks of entries that are gone removed')
  }

  private dead (): string[] {
    const { members, keys, mirror, clock } = this.state
    const live = new Set(members.all().map(member => member.incarnation))
    const marked = mirror.list(keys.holders).map(doc => doc.key.slice(keys.holders.length))
    const now = clock.now()
    for (const incarnation of this.missingSince.keys()) {
      if (live.has(incarnation) || !marked.includes(incarnation)) this.missingSince.delete(incarnation)
    }
    const longestMs = ALLOTMENT_TTL_MS + this.longestRunMs() + GRACE_MS
    return marked.filter(incarnation => {
      if (live.has(incarnation)) return false
      const since = this.missingSince.get(incarnation) ?? now
      this.missingSince.set(incarnation, since)
      return now - since >= longestMs
    })
  }

  private longestRunMs (): number {
    const config = this.state.documents.config()
    return Math.max(0, ...(config?.workloads ?? []).map(workload => workload.maxRunMs))
  }
}
