import type { JobConfig, Queue, StoreLayout, Wave, WorkerRegistration } from '@wisteriaslip/jobs.model'
import type { Logger } from '@wisteriaslip/core.logger'
import { RawCopy } from './raw-mirror.ts'

/** What operators and workers have written, as this entry knows it. The configuration never goes back to an older version. */
export class SiteView {
  readonly operator: RawCopy
  readonly workers: RawCopy
  private readonly sources: StoreLayout
  private readonly logger: Logger
  private newest: JobConfig | undefined
  private queuesByName = new Map<string, Queue>()
  private knownWaves: readonly Wave[] = []
  private byService = new Map<string, WorkerRegistration[]>()
  /** Entries as read, by key and revision: of many workers few change at a time. */
  private readEntries = new Map<string, { readonly revision: number, readonly entry: WorkerRegistration | undefined }>()
  private readonly unreadable = new Map<string, number>()

  /**
   * @param sources - where to find what is written, and how to read it
   * @param logger - for what cannot be read
   */
  constructor (sources: StoreLayout, logger: Logger) {
    this.sources = sources
    this.logger = logger
    this.operator = new RawCopy(sources.operatorPrefix, () => this.readOperator())
    this.workers = new RawCopy(sources.workerPrefix, () => this.readWorkers())
  }

  /** @returns the newest configuration known, undefined before the first */
  config (): JobConfig | undefined {
    return this.newest
  }

  /** @returns the declared waves */
  waves (): readonly Wave[] {
    return this.knownWaves
  }

  /**
   * @param name - of a queue
   * @returns the queue of the newest configuration
   */
  queue (name: string): Queue | undefined {
    return this.queuesByName.get(name)
  }

  /**
   * @param host - that the caller named
   * @param path - of the request
   * @returns the queue with the longest prefix that fits
   */
  route (host: string, path: string): Queue | undefined {
    let best: Queue | undefined
    for (const queue of this.newest?.queues ?? []) {
      if (queue.host !== host || !path.startsWith(queue.pathPrefix)) continue
      if (best === undefined || queue.pathPrefix.length > best.pathPrefix.length) best = queue
    }
    return best
  }

  /** @returns names of services that have queues */
  servicesWithQueues (): string[] {
    return [...new Set((this.newest?.queues ?? []).map(queue => queue.service))].sort()
  }

  /**
   * @param service - name of a service
   * @returns its workers as registered, undefined while this entry does not follow them
   */
  workersOf (service: string): readonly WorkerRegistration[] | undefined {
    return this.workers.revision() === 0 ? undefined : this.byService.get(service) ?? []
  }

  /**
   * Takes a configuration over if it is newer than what is known.
   * @param config - from the store or a peer
   */
  offerConfig (config: JobConfig): void {
    if (this.newest !== undefined && config.version <= this.newest.version) return
    this.newest = config
    this.queuesByName = new Map(config.queues.map(queue => [queue.name, queue]))
    this.logger.info({ version: config.version, queues: config.queues.length }, 'configuration in force')
  }

  private readOperator (): void {
    const text = this.operator.texts.get(this.sources.configKey)
    const config = text === undefined ? undefined : this.sources.decodeConfig(text.text)
    if (config !== undefined) this.offerConfig(config)
    else if (text !== undefined) this.noteUnreadable(this.sources.configKey, text.revision)
    const waves: Wave[] = []
    for (const [key, { text, revision }] of this.operator.texts) {
      if (!key.startsWith(this.sources.wavePrefix)) continue
      const wave = this.sources.decodeWave(text)
      if (wave === undefined) this.noteUnreadable(key, revision)
      else waves.push(wave)
    }
    this.knownWaves = waves.sort((a, b) => a.number - b.number)
  }

  private readWorkers (): void {
    const byService = new Map<string, WorkerRegistration[]>()
    const read: typeof this.readEntries = new Map()
    for (const [key, { text, revision }] of this.workers.texts) {
      const known = this.readEntries.get(key)
      const entry = known?.revision === revision ? known.entry : this.sources.decodeWorker(key, text)
      read.set(key, { revision, entry })
      if (entry === undefined) {
        this.noteUnreadable(key, revision)
        continue
      }
      const list = byService.get(entry.service) ?? []
      list.push(entry)
      byService.set(entry.service, list)
    }
    this.readEntries = read
    this.byService = byService
  }

  private noteUnreadable (key: string, revision: number): void {
    if (this.unreadable.get(key) === revision) return
    this.unreadable.set(key, revision)
    this.logger.warn({ key, revision }, 'entry cannot be read; skipped')
  }
}
