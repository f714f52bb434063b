import type { Result } from '@wisteriaslip/core.result'
import type { LeaderClient } from '@wisteriaslip/jobs.intake'
import type { ExplainRequest, JobPeerService, JobNotification, ServiceLoad, JobStateReply, WithdrawReply } from '@wisteriaslip/jobs.protocol'
import type { Leadership, Members } from '@wisteriaslip/peers.membership'
import type { PeerClients, PeerError } from '@wisteriaslip/peers.protocol'
import { fleetResource, serviceResource } from './resources.ts'

const CALL_TIMEOUT_MS = 400

type Method = 'push' | 'cancelled' | 'state' | 'pending' | 'load' | 'withdraw' | 'explain'

/** Finds the leader of a service and asks it; when that is this entry, without the network. */
export class ServiceLeaders implements LeaderClient {
  private readonly opts: { leadership: Leadership, members: Members, clients: PeerClients<JobPeerService>, local: () => JobPeerService, signal: AbortSignal }

  constructor (opts: ServiceLeaders['opts']) {
    this.opts = opts
  }

  token (service: string): number {
    return this.opts.leadership.leaderOf(serviceResource(service))?.token ?? 0
  }

  async push (service: string, push: JobNotification): Promise<boolean> {
    return (await this.ask(service, 'push', push))?.taken ?? false
  }

  async cancelled (service: string, id: string): Promise<boolean> {
    return (await this.ask(service, 'cancelled', { service, id }))?.taken ?? false
  }

  async state (service: string, id: string): Promise<JobStateReply | undefined> {
    return await this.ask(service, 'state', { service, id })
  }

  async pending (service: string, queue: string): Promise<number | undefined> {
    return (await this.ask(service, 'pending', { service, queue }))?.pending
  }

  async load (service: string): Promise<ServiceLoad | undefined> {
    const load = await this.ask(service, 'load', { service })
    return load?.kind === 'load' ? load : undefined
  }

  async withdraw (service: string, vms: readonly string[]): Promise<WithdrawReply | undefined> {
    return await this.ask(service, 'withdraw', { service, vms })
  }

  /**
   * @param services - of which the leaders are asked
   * @param about - what is to be explained
   * @returns what one of them knows, undefined when none does
   */
  async explain (services: readonly string[], about: ExplainRequest): Promise<unknown> {
    const resources = about.kind === 'wave' ? [fleetResource] : services.map(serviceResource)
    const replies = await Promise.all(resources.map(async resource => await this.askLeader(resource, 'explain', about)))
    return replies.find(reply => reply?.told !== undefined)?.told
  }

  private async ask<M extends Method> (service: string, method: M, input: Parameters<JobPeerService[M]>[0]): Promise<Awaited<ReturnType<JobPeerService[M]>> | undefined> {
    return await this.askLeader(serviceResource(service), method, input)
  }

  private async askLeader<M extends Method> (resource: string, method: M, input: Parameters<JobPeerService[M]>[0]): Promise<Awaited<ReturnType<JobPeerService[M]>> | undefined> {
    const { leadership, members, clients, local, signal } = this.opts
    const leader = leadership.leaderOf(resource)
    if (leader === undefined) return undefined
    if (leader.record.incarnation === members.self.incarnation) {
      const own = local()
      return await (own[method] as (input: Parameters<JobPeerService[M]>[0]) => Promise<Awaited<ReturnType<JobPeerService[M]>>>).call(own, input)
    }
    const member = members.find(leader.record.id)
    if (member === undefined) return undefined
    const reply = await clients.call(member.peerAddress, method, input as never, { timeoutMs: CALL_TIMEOUT_MS, signal }) as Result<Awaited<ReturnType<JobPeerService[M]>>, PeerError>
    return reply.ok ? reply.value : undefined
  }
}
