import { err, ok, withTimeout } from '@wisteriaslip/core.result'
import type { ExplainRequest, JobPeerService, JobNotification, PeerState, PendingReply, ServiceLoad, JobStateReply, WithdrawReply } from '@wisteriaslip/jobs.protocol'
import type { FleetTerm } from '@wisteriaslip/jobs.fleet'
import type { StoreLayout } from '@wisteriaslip/jobs.model'
import type { ServiceTerm } from '@wisteriaslip/jobs.service'
import type { Members } from '@wisteriaslip/peers.membership'
import type { RelayRequest, RelayReply } from '@wisteriaslip/peers.protocol'
import type { Driver, KeyRange } from '@wisteriaslip/store.client'
import type { Mirror } from '@wisteriaslip/store.mirror'
import { RELAY_TIMEOUT_MS } from './peer-sync.ts'
import type { SiteView } from './site-view.ts'

/** Options of {@link EntryPeerService}. */
export interface EntryPeerServiceOpts {
  readonly members: Members
  readonly mirror: Mirror
  readonly site: SiteView
  readonly storeLayout: Pick<StoreLayout, 'configKey' | 'withoutKeys'>
  /** @returns whether this entry reaches the store directly */
  readonly hasStoreAccess: () => boolean
  /** Driver without relaying, so that a relayed call is not relayed again. */
  readonly directDriver: Driver
  readonly term: (service: string) => ServiceTerm | undefined
  /** @returns terms of all services that this entry leads */
  readonly serviceTerms: () => readonly ServiceTerm[]
  readonly fleetTerm: () => FleetTerm | undefined
  readonly signal: AbortSignal
}

/** Serves the peers of this entry. */
export class EntryPeerService implements JobPeerService {
  private readonly opts: EntryPeerServiceOpts

  constructor (opts: EntryPeerServiceOpts) {
    this.opts = opts
  }

  async sync (req: { from: string, revision: number, configVersion?: number | undefined }): Promise<PeerState> {
    const { members, mirror, site, hasStoreAccess } = this.opts
    const config = site.config()
    const delta = mirror.since(req.revision)
    return {
      incarnation: members.self.incarnation,
      storeAvailable: hasStoreAccess(),
      configVersion: config?.version ?? -1,
      ...(delta === undefined ? {} : { delta }),
      ...(config !== undefined && config.version > (req.configVersion ?? Infinity) ? { config } : {})
    }
  }

  async push (req: JobNotification): Promise<{ taken: boolean }> {
    return { taken: this.opts.term(req.job.service)?.push(req.job) ?? false }
  }

  async cancelled (req: { service: string, id: string }): Promise<{ taken: boolean }> {
    return { taken: this.opts.term(req.service)?.cancel(req.id) ?? false }
  }

  async state (req: { service: string, id: string }): Promise<JobStateReply> {
    const term = this.opts.term(req.service)
    const state = term?.state(req.id) ?? 'not-ready'
    if (state === 'not-ready') return { kind: 'not-leader' }
    if (state === 'unknown') return { kind: 'unknown' }
    const { account, queue, address } = term?.job(req.id) ?? {}
    return { kind: 'known', state, account, queue, address }
  }

  async pending (req: { service: string, queue: string, address?: string | undefined }): Promise<PendingReply> {
    const others = this.opts.serviceTerms().filter(term => term.service !== req.service)
    const elsewhere = others.reduce((sum, term) => sum + (term.pending(req.queue, req.address) ?? 0), 0)
    return { pending: this.opts.term(req.service)?.pending(req.queue, req.address), elsewhere }
  }

  async load (req: { service: string }): Promise<ServiceLoad | { kind: 'not-leader' }> {
    return this.opts.term(req.service)?.load() ?? { kind: 'not-leader' }
  }

  async withdraw (req: { service: string, vms: readonly string[], fleetToken?: number | undefined }): Promise<WithdrawReply> {
    const term = this.opts.term(req.service)
    const empty = term?.withdraw(req.vms, req.fleetToken)
    return empty === undefined ? { kind: 'not-leader' } : { kind: 'withdrawn', empty, token: term?.token }
  }

  async explain (req: ExplainRequest): Promise<{ told: unknown }> {
    if (req.kind === 'wave') return { told: this.opts.fleetTerm()?.explainWave(Number(req.name)) }
    const found = this.opts.serviceTerms().map(term => ({ service: term.service, about: term.explain(req) })).find(({ about }) => about !== undefined)
    return { told: found === undefined ? undefined : { service: found.service, ...found.about as object } }
  }

  /** Runs a relayed call directly against the store, for no longer than the entry that asked for it waits. */
  async relay (call: RelayRequest): Promise<RelayReply> {
    const reply = await withTimeout(RELAY_TIMEOUT_MS, this.opts.signal, async signal => await runStoreCall(this.opts.directDriver, call, signal))
    return call.op === 'range' && reply.ok ? ok(this.withoutKeys(reply.value as KeyRange)) : reply
  }

  /** Keys of client accounts do not leave this entry. */
  private withoutKeys (range: KeyRange): KeyRange {
    const { configKey, withoutKeys } = this.opts.storeLayout
    if (withoutKeys === undefined) return range
    return { ...range, kvs: range.kvs.map(kv => kv.key === configKey ? { ...kv, value: withoutKeys(kv.value) } : kv) }
  }
}

async function runStoreCall (driver: Driver, call: RelayRequest, signal: AbortSignal): Promise<RelayReply> {
  if (call.op === 'range') {
    const { key, prefix } = call
    return await driver.range(key, { prefix, signal, ...(call.minModRevision === undefined ? {} : { minModRevision: call.minModRevision }) })
  }
  if (call.op === 'txn') return await driver.txn(call.txn, signal)
  if (call.op === 'grant') return await driver.grantLease(call.ttlMs, signal)
  const done = call.op === 'keepAlive' ? await driver.keepAlive(call.leaseId, signal) : await driver.revokeLease(call.leaseId, signal)
  return done.ok ? ok(null) : err(done.error)
}
