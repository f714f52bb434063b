import type { Versioned, WatchBatch } from '@wisteriaslip/store.client'
import { decodeEnvelope } from '@wisteriaslip/store.client'

/** Number of deletions that are kept, to list them in deltas and to ignore older versions of the deleted keys. */
const MAX_TOMBSTONES = 5_000

/** Difference between two mirrors: all changes after revision `from`, up to revision `to`. A full delta holds every key. */
export interface Delta {
  readonly from: number
  readonly to: number
  readonly full: boolean
  readonly docs: readonly Versioned[]
  readonly deleted: ReadonlyArray<{ readonly key: string, readonly modRevision: number }>
}

type Listener = (keys: readonly string[]) => void

/** Local replica of the watched store keys at one revision, which includes every change up to that revision. */
export class Mirror {
  private readonly docs = new Map<string, Versioned>()
  private readonly tombstones = new Map<string, number>()
  private readonly listeners = new Set<Listener>()
  private atRevision = 0
  /**
   * Highest revision of a tombstone that was dropped. A delta from an earlier revision cannot list all deletions
   * and must be full.
   */
  private prunedTombstoneRevision = 0

  /** @returns the revision up to which all changes are included; 0 before the first update */
  revision (): number {
    return this.atRevision
  }

  /** @returns the number of keys */
  size (): number {
    return this.docs.size
  }

  /**
   * @param key - full key
   * @returns the document, or undefined when the key does not exist
   */
  get<T = unknown> (key: string): Versioned<T> | undefined {
    return this.docs.get(key) as Versioned<T> | undefined
  }

  /**
   * @param prefix - prefix of the keys
   * @returns the documents whose keys start with the prefix, in no particular order
   */
  list<T = unknown> (prefix: string): Array<Versioned<T>> {
    const out: Array<Versioned<T>> = []
    for (const doc of this.docs.values()) {
      if (doc.key.startsWith(prefix)) out.push(doc as Versioned<T>)
    }
    return out
  }

  /**
   * @param listener - called after each change with the keys that changed
   * @returns a function that ends the subscription
   */
  subscribe (listener: Listener): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  /**
   * Replaces the contents by all keys as listed at one revision. A list older than the mirror is ignored.
   * @param revision - revision of the list
   * @param docs - the documents of all existing keys
   */
  replaceAll (revision: number, docs: readonly Versioned[]): void {
    if (revision < this.atRevision) return
    const listedKeys = new Set(docs.map(doc => doc.key))
    const removed = [...this.docs.keys()].filter(key => !listedKeys.has(key))
    const changed = this.upsert(docs)
    for (const key of removed) this.remove(key, revision)
    this.advanceTo(revision, [...changed, ...removed])
  }

  /**
   * Applies the changes of a watch, which must continue from the mirror's revision.
   * @param batch - batch delivered by the watch
   */
  applyBatch (batch: WatchBatch): void {
    const docs: Versioned[] = []
    for (const kv of batch.changed) {
      const doc = decodeEnvelope(kv)
      if (doc !== undefined) docs.push(doc)
    }
    this.apply(batch.revision, docs, batch.deleted)
  }

  /**
   * Applies a delta of a peer's mirror, unless changes between the mirror's revision and the delta would be missing.
   * @param delta - delta of a peer
   * @returns whether the delta was applicable
   */
  merge (delta: Delta): boolean {
    if (delta.full) {
      this.replaceAll(delta.to, delta.docs)
      return true
    }
    if (delta.from > this.atRevision) return false
    this.apply(delta.to, delta.docs, delta.deleted)
    return true
  }

  /**
   * @param revision - revision of the other mirror
   * @returns the delta that brings it up to date, or undefined when it is not behind
   */
  since (revision: number): Delta | undefined {
    if (revision >= this.atRevision) return undefined
    const full = revision === 0 || revision < this.prunedTombstoneRevision
    const docs = [...this.docs.values()].filter(doc => full || doc.modRevision > revision)
    const deleted = [...this.tombstones].filter(([, modRevision]) => modRevision > revision)
    return {
      from: revision,
      to: this.atRevision,
      full,
      docs,
      deleted: full ? [] : deleted.map(([key, modRevision]) => ({ key, modRevision }))
    }
  }

  private apply (revision: number, docs: readonly Versioned[], deleted: Delta['deleted']): void {
    const changed = this.upsert(docs)
    for (const { key, modRevision } of deleted) {
      const existing = this.docs.get(key)
      if (existing !== undefined && existing.modRevision >= modRevision) continue
      this.remove(key, modRevision)
      changed.push(key)
    }
    this.advanceTo(revision, changed)
  }

  private upsert (docs: readonly Versioned[]): string[] {
    const changed: string[] = []
    for (const doc of docs) {
      const localRevision = this.docs.get(doc.key)?.modRevision ?? this.tombstones.get(doc.key) ?? 0
      if (doc.modRevision <= localRevision) continue
      this.docs.set(doc.key, doc)
      this.tombstones.delete(doc.key)
      changed.push(doc.key)
    }
    return changed
  }

  private remove (key: string, modRevision: number): void {
    this.docs.delete(key)
    this.tombstones.set(key, modRevision)
    if (this.tombstones.size <= MAX_TOMBSTONES) return
    const [oldest] = this.tombstones
    if (oldest === undefined) return
    this.tombstones.delete(oldest[0])
    this.prunedTombstoneRevision = Math.max(this.prunedTombstoneRevision, oldest[1])
  }

  private advanceTo (revision: number, changed: readonly string[]): void {
    this.atRevision = Math.max(this.atRevision, revision)
    if (changed.length === 0) return
    for (const listener of this.listeners) listener(changed)
  }
}
