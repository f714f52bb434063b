import { FleetConfig, isUsableDocument, type Document } from '@wisteriaslip/config.documents'
import type { Logger } from '@wisteriaslip/core.logger'
import type { Versioned } from '@wisteriaslip/store.client'
import type { Mirror } from '@wisteriaslip/store.mirror'

/** Stored form of a document. A deleted document stays as a tombstone, so that no outdated replica can restore it. */
export interface StoredDocument {
  readonly document: Document
  readonly deleted: boolean
  /** Generation of the configuration in which the document was first applied, or first after it had been deleted. */
  readonly declaredIn?: number | undefined
}

/**
 * @param value - value under the key of a document
 * @returns whether it is a document that can be in effect, or a deleted one
 */
export function isStoredDocument (value: unknown): value is StoredDocument {
  if (typeof value !== 'object' || value === null) return false
  const { document, deleted } = value as Partial<StoredDocument>
  return deleted === true || (deleted === false && isUsableDocument(document))
}

/** The operators' documents in the mirror. The compiled configuration is cached until a document changes. */
export class DocumentView {
  private readonly mirror: Mirror
  private readonly prefix: string
  private readonly listeners = new Set<() => void>()
  private cachedConfig: FleetConfig | undefined
  private readonly logger: Logger
  /** Whether each version can be in effect: of many documents few change at a time. */
  private readonly usable = new WeakMap<Versioned, boolean>()

  /**
   * @param mirror - local replica of the store keys
   * @param prefix - key prefix of all documents
   * @param logger - logs documents that cannot be in effect
   */
  constructor (mirror: Mirror, prefix: string, logger: Logger) {
    this.logger = logger
    this.mirror = mirror
    this.prefix = prefix
    mirror.subscribe(keys => {
      if (!keys.some(key => key.startsWith(prefix))) return
      this.cachedConfig = undefined
      for (const listener of this.listeners) listener()
    })
  }

  /** @returns the configuration in effect; undefined until the mirror has been loaded */
  config (): FleetConfig | undefined {
    if (this.mirror.revision() === 0) return undefined
    this.cachedConfig ??= new FleetConfig(this.documents(), this.wavesDeclaredIn())
    return this.cachedConfig
  }

  /** @returns all documents that can be in effect, except deleted ones */
  documents (): Document[] {
    return this.mirror.list<StoredDocument>(this.prefix)
      .filter(doc => this.isUsable(doc) && !doc.value.deleted)
      .map(doc => doc.value.document)
  }

  private wavesDeclaredIn (): Map<string, number> {
    const declaredIn = new Map<string, number>()
    for (const doc of this.mirror.list<StoredDocument>(`${this.prefix}wave/`)) {
      if (!this.isUsable(doc) || doc.value.deleted) continue
      const { document, declaredIn: generation } = doc.value
      if (generation !== undefined) declaredIn.set(document.name, generation)
    }
    return declaredIn
  }

  private isUsable (doc: Versioned): boolean {
    const known = this.usable.get(doc)
    if (known !== undefined) return known
    const usable = isStoredDocument(doc.value)
    this.usable.set(doc, usable)
    if (!usable) this.logger.warn({ key: doc.key, revision: doc.modRevision }, 'cannot use the document of a key; skipping it')
    return usable
  }

  /** @param listener - called after each change of a document */
  onChange (listener: () => void): void {
    this.listeners.add(listener)
  }
}
