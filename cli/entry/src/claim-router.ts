import type { Leadership, Member, Members } from '@wisteriaslip/peers.membership'
import type { ClaimReply, ClaimRequest, ClaimSettlement } from '@wisteriaslip/peers.protocol'
import type { ClaimOwner } from '@wisteriaslip/routing.gateway'
import { partitionOf, partitionResource } from '@wisteriaslip/routing.idempotency'
import type { CallMember } from './slot-reporter.ts'

const CLAIM_TIMEOUT_MS = 2_000

/** Routes claims and settlements of idempotency keys to the owner of the key. */
export class ClaimRouter implements ClaimOwner {
  private readonly opts: { readonly members: Members, readonly leadership: Leadership, readonly call: CallMember }

  constructor (opts: { members: Members, leadership: Leadership, call: CallMember }) {
    this.opts = opts
  }

  async claim (request: ClaimRequest): Promise<ClaimReply> {
    const owner = this.findOwner(request)
    if (owner === 'gone') return { state: 'lost' }
    if (owner === undefined) return { state: 'unavailable' }
    const reply = await this.opts.call(owner, 'claim', request, CLAIM_TIMEOUT_MS)
    return reply.ok ? reply.value : { state: 'unavailable' }
  }

  async settle (settlement: ClaimSettlement): Promise<boolean> {
    const owner = this.findOwner(settlement)
    if (owner === 'gone') return true
    if (owner === undefined) return false
    const reply = await this.opts.call(owner, 'settle', settlement, CLAIM_TIMEOUT_MS)
    return reply.ok
  }

  /** An issued key is owned by the incarnation that issued it, and by no later one. */
  private findOwner (claim: { readonly id: string, readonly issuedBy?: string | undefined }): Member | 'gone' | undefined {
    const { members, leadership } = this.opts
    if (claim.issuedBy !== undefined) {
      if (claim.issuedBy === members.self.incarnation) return members.self
      return members.all().find(member => member.incarnation === claim.issuedBy) ?? 'gone'
    }
    const leader = leadership.leaderOf(partitionResource(partitionOf(claim.id)))
    return members.all().find(member => member.incarnation === leader?.record.incarnation)
  }
}
