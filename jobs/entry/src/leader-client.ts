import type { Logger } from '@wisteriaslip/core.logger'
import type { Result } from '@wisteriaslip/core.result'
import type { LeaderClient } from '@wisteriaslip/jobs.intake'
import { addressOf, type Queue } from '@wisteriaslip/jobs.model'
import type { ExplainRequest, JobPeerService, JobNotification, ServiceLoad, JobStateReply, WithdrawReply } from '@wisteriaslip/jobs.protocol'
import type { Leadership, Members } from '@wisteriaslip/peers.membership'
import type { PeerCaller, PeerError } from '@wisteriaslip/peers.protocol'
import { fleetResource, serviceResource } from './resources.ts'

/** Callers wait for the reply. */
const LEADER_CALL_TIMEOUT_MS = 400
/** Nobody waits for the reply: a leader that is held up gets more time, as a repetition would cost it more. */
const BACKGROUND_CALL_TIMEOUT_MS = 1_200

const backgroundMethods: ReadonlySet<LeaderMethod> = new Set<LeaderMethod>(['push', 'load', 'withdraw'])

/** Calls of the fleet's leader, whose failures are logged: without a response, the VMs of a pool stay as they are. */
const fleetMethods: ReadonlySet<LeaderMethod> = new Set<LeaderMethod>(['load', 'withdraw'])

type LeaderMethod = 'push' | 'cancelled' | 'state' | 'pending' | 'load' | 'withdraw' | 'explain'

/** Calls the leader of a service or of the fleet; when this entry is the leader, the call stays in the process. */
export class PeerLeaderClient implements LeaderClient {
  private readonly opts: { leadership: Leadership, members: Members, clients: PeerCaller<JobPeerService>, services: () => readonly string[], localService: () => JobPeerService, logger: Logger, signal: AbortSignal }

  constructor (opts: PeerLeaderClient['opts']) {
    this.opts = opts
  }

  token (service: string): number {
    return this.opts.leadership.leaderOf(serviceResource(service))?.token ?? 0
  }

  async push (service: string, push: JobNotification): Promise<boolean> {
    return (await this.callServiceLeader(service, 'push', push))?.taken ?? false
  }

  async cancelled (service: string, id: string): Promise<boolean> {
    return (await this.callServiceLeader(service, 'cancelled', { service, id }))?.taken ?? false
  }

  async state (service: string, id: string): Promise<JobStateReply | undefined> {
    return await this.callServiceLeader(service, 'state', { service, id })
  }

  /** Asks each entry that leads a service once: any service may still have jobs of the queue. */
  async pending (queue: Queue): Promise<number | undefined> {
    const resource = serviceResource(queue.service)
    const req = { service: queue.service, queue: queue.name, address: addressOf(queue) }
    const ownLeader = this.opts.leadership.leaderOf(resource)?.record.id
    const others = new Map(this.opts.services().map(service => [this.opts.leadership.leaderOf(serviceResource(service))?.record.id, serviceResource(service)]))
    others.delete(ownLeader)
    const [own, ...replies] = await Promise.all([resource, ...others.values()].map(async each => await this.callLeader(each, 'pending', req)))
    if (own?.pending === undefined) return undefined
    return replies.reduce((sum, reply) => sum + (reply?.elsewhere ?? 0), own.pending + (own.elsewhere ?? 0))
  }

  async load (service: string): Promise<ServiceLoad | undefined> {
    const load = await this.callServiceLeader(service, 'load', { service })
    return load?.kind === 'load' ? load : undefined
  }

  async withdraw (service: string, vms: readonly string[], fleetToken: number): Promise<WithdrawReply | undefined> {
    return await this.callServiceLeader(service, 'withdraw', { service, vms, fleetToken })
  }

  /**
   * Requests an explanation from leaders: of the fleet for a wave, else of all given services.
   * @param services - services whose leaders are called
   * @param about - the object to explain
   * @returns the first explanation found, undefined when no leader that replies tracks the object
   */
  async explain (services: readonly string[], about: ExplainRequest): Promise<unknown> {
    const resources = about.kind === 'wave' ? [fleetResource] : services.map(serviceResource)
    const replies = await Promise.all(resources.map(async resource => await this.callLeader(resource, 'explain', about)))
    return replies.find(reply => reply?.told !== undefined)?.told
  }

  private async callServiceLeader<M extends LeaderMethod> (service: string, method: M, input: Parameters<JobPeerService[M]>[0]): Promise<Awaited<ReturnType<JobPeerService[M]>> | undefined> {
    return await this.callLeader(serviceResource(service), method, input)
  }

  private async callLeader<M extends LeaderMethod> (resource: string, method: M, input: Parameters<JobPeerService[M]>[0]): Promise<Awaited<ReturnType<JobPeerService[M]>> | undefined> {
    const { leadership, members, clients, localService, signal } = this.opts
    const leader = leadership.leaderOf(resource)
    if (leader === undefined) return undefined
    if (leader.record.incarnation === members.self.incarnation) {
      const own = localService()
      return await (own[method] as (input: Parameters<JobPeerService[M]>[0]) => Promise<Awaited<ReturnType<JobPeerService[M]>>>).call(own, input)
    }
    const member = members.find(leader.record.id)
    if (member === undefined) return undefined
    const timeoutMs = backgroundMethods.has(method) ? BACKGROUND_CALL_TIMEOUT_MS : LEADER_CALL_TIMEOUT_MS
    const reply = await clients.call(member.peerAddress, method, input as never, { timeoutMs, signal }) as Result<Awaited<ReturnType<JobPeerService[M]>>, PeerError>
    if (!reply.ok && fleetMethods.has(method)) this.opts.logger.info({ resource, method, leader: member.id, message: reply.error.message }, 'failed to call a leader')
    return reply.ok ? reply.value : undefined
  }
}
