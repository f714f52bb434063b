import { parseJson } from '@wisteriaslip/core.result'
import { SITE_PREFIX } from './store-layout.ts'
import type { VirtualStore } from './virtual-store.ts'

const LEADERS_PREFIX = `${SITE_PREFIX}/leaders/`

/** A term of a leader, as the store has it. */
export interface SeenTerm {
  readonly resource: string
  readonly entry: string
  readonly token: number
  readonly from: number
  /** When it had ended; infinite while it lasts. */
  to: number
}

/** Who has led what, as the store has it. */
export class LeaderLog {
  private readonly store: VirtualStore
  private readonly terms: SeenTerm[] = []

  /** @param store - store with the records of the leaders */
  constructor (store: VirtualStore) {
    this.store = store
  }

  /** Notes changes since the last call. */
  sample (now: number): void {
    const present = this.store.list(LEADERS_PREFIX)
    const lasting = this.terms.filter(({ to }) => to === Infinity)
    for (const term of lasting) if (!present.some(kv => kv.createRevision === term.token && kv.key === LEADERS_PREFIX + term.resource)) term.to = now
    for (const { key, value, createRevision } of present) {
      const resource = key.slice(LEADERS_PREFIX.length)
      if (lasting.some(term => term.token === createRevision && term.resource === resource)) continue
      this.terms.push({ resource, entry: entryOf(value), token: createRevision, from: now, to: Infinity })
    }
  }

  /**
   * @param resource - what is led
   * @returns id of the entry that leads it now, undefined if none does
   */
  leaderOf (resource: string): string | undefined {
    const value = this.store.get(LEADERS_PREFIX + resource)
    return value === undefined ? undefined : entryOf(value)
  }

  /** @returns the term of a resource that lasts, as of the last call of {@link LeaderLog.sample}; undefined if none does */
  lastingTerm (resource: string): SeenTerm | undefined {
    return this.terms.findLast(term => term.resource === resource && term.to === Infinity)
  }

  /** @returns the terms of a resource that have lasted until a time, or longer */
  since (resource: string, from: number): SeenTerm[] {
    return this.terms.filter(term => term.resource === resource && term.to >= from)
  }

  /** @returns how often the leader of a resource has changed in a time, or has ended without a successor */
  changes (resource: string, from: number, to: number): number {
    const terms = this.since(resource, from)
    const begun = terms.filter(term => term.from > from && term.from <= to).length
    const ended = terms.filter(term => term.to <= to).length
    return Math.max(begun, ended)
  }
}

function entryOf (value: string): string {
  return (parseJson(value) as { value?: { id?: string } }).value?.id ?? ''
}
