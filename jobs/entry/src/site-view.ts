import { AccountDirectory } from '@wisteriaslip/jobs.accounts'
import type { Account, JobConfig, Queue, StoreLayout, Wave, WorkerRegistration } from '@wisteriaslip/jobs.model'
import type { Logger } from '@wisteriaslip/core.logger'
import { RawMirror } from './raw-mirror.ts'

/**
 * Configuration, waves and worker registrations as this entry knows them: mirrored from the store, the configuration
 * also received from peers. The configuration never reverts to an older version, nor, with client accounts, does the first
 * one come from a peer's memory: an earlier incarnation of this entry may have had a newer one, without a key of that.
 */
export class SiteView {
  readonly operatorKeys: RawMirror
  readonly workers: RawMirror
  private readonly storeLayout: StoreLayout
  private readonly logger: Logger
  private currentConfig: JobConfig | undefined
  private directory: AccountDirectory | undefined
  /** The current configuration came from a peer, which may be of a version of the product that does not know all of its fields. */
  private isFromPeer = false
  private loggedPeerVersion: number | undefined
  private queuesByName = new Map<string, Queue>()
  private accountsByName = new Map<string, Account>()
  private accountsWithQuotas = 0
  private declaredWaves: readonly Wave[] = []
  private workersByService = new Map<string, WorkerRegistration[]>()
  /** Decoded registrations by key: of many workers few change at a time, so unchanged revisions are not decoded again. */
  private decodedWorkers = new Map<string, { readonly revision: number, readonly registration: WorkerRegistration | undefined }>()
  /** Latest revision of each undecodable key that was logged. */
  private readonly loggedRevisions = new Map<string, number>()

  /**
   * @param storeLayout - keys and formats of what operators and workers write
   * @param logger - logs configuration changes and undecodable values
   */
  constructor (storeLayout: StoreLayout, logger: Logger) {
    this.storeLayout = storeLayout
    this.logger = logger
    this.operatorKeys = new RawMirror(storeLayout.operatorPrefix, () => this.decodeOperatorKeys())
    this.workers = new RawMirror(storeLayout.workerPrefix, () => this.decodeWorkers())
  }

  /** @returns the newest configuration received, undefined before the first */
  config (): JobConfig | undefined {
    return this.currentConfig
  }

  /** @returns the client accounts of the newest configuration, undefined where it has none */
  accounts (): AccountDirectory | undefined {
    return this.directory
  }

  /** @returns the declared waves, by ascending number */
  waves (): readonly Wave[] {
    return this.declaredWaves
  }

  /**
   * @param name - name of a queue
   * @returns the queue, undefined when the newest configuration has none of this name
   */
  queue (name: string): Queue | undefined {
    return this.queuesByName.get(name)
  }

  /**
   * @param name - name of a client account
   * @returns the account, undefined when the newest configuration has none of this name
   */
  account (name: string): Account | undefined {
    return this.accountsByName.get(name)
  }

  /** @returns whether a client account of the newest configuration has a quota */
  hasQuotas (): boolean {
    return this.accountsWithQuotas > 0
  }

  /**
   * @param host - host header of the request
   * @param path - path of the request
   * @returns the queue with the longest matching path prefix, undefined when none matches
   */
  queueFor (host: string, path: string): Queue | undefined {
    let best: Queue | undefined
    for (const queue of this.currentConfig?.queues ?? []) {
      if (queue.host !== host || !path.startsWith(queue.pathPrefix)) continue
      if (best === undefined || queue.pathPrefix.length > best.pathPrefix.length) best = queue
    }
    return best
  }

  /** @returns sorted names of services that have queues */
  servicesWithQueues (): string[] {
    return [...new Set((this.currentConfig?.queues ?? []).map(queue => queue.service))].sort()
  }

  /**
   * @param service - name of a service
   * @returns its registered workers, undefined while this entry does not mirror registrations
   */
  workersOf (service: string): readonly WorkerRegistration[] | undefined {
    return this.workers.revision() === 0 ? undefined : this.workersByService.get(service) ?? []
  }

  /**
   * Applies a configuration if it is newer than the current one.
   * @param config - read from the store, by this entry or through a peer
   */
  applyConfigIfNewer (config: JobConfig): void {
    const current = this.currentConfig
    const completes = this.isFromPeer && config.version === current?.version && config.accounts !== undefined
    if (current !== undefined && config.version <= current.version && !completes) return
    this.apply(config)
    this.isFromPeer = false
  }

  /**
   * Applies a configuration that a peer holds in memory if it is newer than the current one, and if that cannot bring back
   * keys that were taken away: the peer may have lost the store long ago.
   * @param config - the peer's configuration
   */
  applyPeerConfigIfNewer (config: JobConfig): void {
    if (config.version <= (this.currentConfig?.version ?? Number.NEGATIVE_INFINITY)) return
    if (this.mustComeFromStore(config)) {
      this.logWaitingForStore(config.version)
      return
    }
    this.apply(config)
    this.isFromPeer = true
  }

  /** A peer of an earlier version of the product does not know accounts: its configurations have none. */
  private mustComeFromStore (config: JobConfig): boolean {
    if (this.currentConfig === undefined) return config.accounts !== undefined
    return this.currentConfig.accounts !== undefined && config.accounts === undefined
  }

  private apply (config: JobConfig): void {
    this.currentConfig = config
    this.queuesByName = new Map(config.queues.map(queue => [queue.name, queue]))
    const accounts = config.accounts ?? []
    this.accountsByName = new Map(accounts.map(account => [account.name, account]))
    this.accountsWithQuotas = accounts.filter(({ quota }) => quota.cpu > 0 || quota.memMb > 0 || quota.accelerators > 0).length
    this.directory = config.accounts === undefined ? undefined : new AccountDirectory(config.accounts)
    this.logger.info({ version: config.version, queues: config.queues.length, accounts: config.accounts?.length, unreadableAccounts: config.unreadableAccounts }, 'configuration applied')
  }

  private logWaitingForStore (version: number): void {
    if (this.loggedPeerVersion === version) return
    this.loggedPeerVersion = version
    this.logger.info({ version, inEffect: this.currentConfig?.version }, 'configuration of a peer not taken: the store decides about accounts')
  }

  private decodeOperatorKeys (): void {
    const configText = this.operatorKeys.texts.get(this.storeLayout.configKey)
    const config = configText === undefined ? undefined : this.storeLayout.decodeConfig(configText.text)
    if (config !== undefined) this.applyConfigIfNewer(config)
    else if (configText !== undefined) this.logUnreadable(this.storeLayout.configKey, configText.revision)
    const waves: Wave[] = []
    for (const [key, { text, revision, createRevision }] of this.operatorKeys.texts) {
      if (this.storeLayout.waveNumber(key) === undefined) continue
      const spec = this.storeLayout.decodeWave(key, text)
      if (spec === undefined) this.logUnreadable(key, revision)
      else waves.push({ ...spec, revision, createRevision })
    }
    this.declaredWaves = waves.sort((a, b) => a.number - b.number)
  }

  private decodeWorkers (): void {
    const byService = new Map<string, WorkerRegistration[]>()
    const decoded: typeof this.decodedWorkers = new Map()
    for (const [key, { text, revision }] of this.workers.texts) {
      const previous = this.decodedWorkers.get(key)
      const registration = previous?.revision === revision ? previous.registration : this.decodeWorker(key, { text, revision })
      decoded.set(key, { revision, registration })
      if (registration === undefined) {
        this.logUnreadable(key, revision)
        continue
      }
      const list = byService.get(registration.service) ?? []
      list.push(registration)
      byService.set(registration.service, list)
    }
    this.decodedWorkers = decoded
    this.workersByService = byService
  }

  private decodeWorker (key: string, { text, revision }: { text: string, revision: number }): WorkerRegistration | undefined {
    const registration = this.storeLayout.decodeWorker(key, text)
    return registration === undefined ? undefined : { ...registration, revision }
  }

  private logUnreadable (key: string, revision: number): void {
    if (this.loggedRevisions.get(key) === revision) return
    this.loggedRevisions.set(key, revision)
    this.logger.warn({ key, revision }, 'cannot decode the value of a key; skipping it')
  }
}
