import type { Clock } from '@wisteriaslip/core.result'
import type { ClaimReply, ClaimRequest, ClaimSettlement, Outcome } from '@wisteriaslip/peers.protocol'

const MAX_OUTCOME_BYTES = 16 * 1024 * 1024
const SETTLE_GRACE_MS = 2_000
const MAX_CLAIMS = 500_000

type ClaimState =
  | { readonly kind: 'running', readonly requestId: string, readonly until: number }
  | { readonly kind: 'answered', readonly requestId: string, readonly outcome: Outcome | undefined }
  | { readonly kind: 'released' }
  | { readonly kind: 'lost' }

interface Claim {
  readonly bodyHash: string
  state: ClaimState
}

/** Claims in memory and what became of them. */
export class ClaimTable {
  private readonly clock: Clock
  private readonly claims = new Map<string, Claim>()
  private readonly outcomes = new Map<string, number>()
  private outcomeBytes = 0

  constructor (clock: Clock) {
    this.clock = clock
  }

  /** @returns how many keys are remembered */
  size (): number {
    return this.claims.size
  }

  /** @returns whether more keys can be remembered; none is ever forgotten to make room */
  hasCapacity (): boolean {
    return this.claims.size < MAX_CLAIMS
  }

  /**
   * @param request - claim of a key
   * @returns what is already known of the key, undefined when it may be taken
   */
  lookUp (request: ClaimRequest): ClaimReply | undefined {
    const claim = this.claims.get(request.id)
    if (claim === undefined) return undefined
    if (claim.bodyHash !== request.bodyHash) return { state: 'different' }
    const state = this.settled(claim)
    if (state.kind === 'released') return undefined
    if (state.kind === 'lost') return { state: 'lost' }
    if (state.kind === 'running') return state.requestId === request.requestId ? { state: 'run' } : { state: 'running' }
    return state.outcome === undefined ? { state: 'lost' } : { state: 'answered', outcome: state.outcome }
  }

  /**
   * Takes a key for a request.
   * @param request - that is about to run
   */
  addClaim (request: Omit<ClaimRequest, 'issuedBy'>): void {
    const until = this.clock.now() + request.settleWithinMs + SETTLE_GRACE_MS
    this.claims.set(request.id, { bodyHash: request.bodyHash, state: { kind: 'running', requestId: request.requestId, until } })
  }

  /**
   * Records how a request ended.
   * @param settlement - told by the entry that ran it
   * @returns whether the key was its
   */
  settle (settlement: ClaimSettlement): boolean {
    const claim = this.claims.get(settlement.id)
    if (claim?.state.kind !== 'running' || claim.state.requestId !== settlement.requestId) return false
    if (settlement.result === 'released' || settlement.result === 'lost') {
      claim.state = { kind: settlement.result }
      return true
    }
    const outcome = settlement.result.outcome
    claim.state = { kind: 'answered', requestId: settlement.requestId, outcome }
    this.keep(settlement.id, outcome)
    return true
  }

  /**
   * Forgets a key.
   * @param id - of the claim
   */
  removeClaim (id: string): void {
    this.claims.delete(id)
    this.outcomeBytes -= this.outcomes.get(id) ?? 0
    this.outcomes.delete(id)
  }

  private settled (claim: Claim): ClaimState {
    if (claim.state.kind === 'running' && claim.state.until < this.clock.now()) claim.state = { kind: 'lost' }
    return claim.state
  }

  /** The oldest answers go first; their keys stay taken. */
  private keep (id: string, outcome: Outcome): void {
    const bytes = outcome.bodyBase64.length
    this.outcomes.set(id, bytes)
    this.outcomeBytes += bytes
    for (const [oldest, size] of this.outcomes) {
      if (this.outcomeBytes <= MAX_OUTCOME_BYTES) return
      this.outcomes.delete(oldest)
      this.outcomeBytes -= size
      const claim = this.claims.get(oldest)
      if (claim?.state.kind === 'answered') claim.state = { ...claim.state, outcome: undefined }
    }
  }
}
