import type { Clock } from '@wisteriaslip/core.result'
import type { ClaimReply, ClaimRequest, ClaimSettlement, RecordedResponse } from '@wisteriaslip/peers.protocol'

/** Limit of the total size of the recorded responses, by the length of their base64 bodies. */
const MAX_STORED_OUTCOME_BYTES = 16 * 1024 * 1024
/** Added to the time within which a request must be settled, before its outcome counts as lost. */
const SETTLE_GRACE_PERIOD_MS = 2_000
const MAX_CLAIMS = 500_000

type ClaimState =
  | { readonly kind: 'running', readonly requestId: string, readonly settleDeadlineAt: number }
  | { readonly kind: 'answered', readonly requestId: string, readonly outcome: RecordedResponse | undefined }
  | { readonly kind: 'released' }
  | { readonly kind: 'lost' }

interface Claim {
  readonly bodyHash: string
  state: ClaimState
}

/** In-memory table of claims of idempotency keys, with the recorded responses. */
export class ClaimTable {
  private readonly clock: Clock
  private readonly claims = new Map<string, Claim>()
  private readonly outcomeSizes = new Map<string, number>()
  private outcomeBytes = 0

  constructor (clock: Clock) {
    this.clock = clock
  }

  /** @returns number of claims in the table */
  size (): number {
    return this.claims.size
  }

  /** @returns whether the table has capacity for another claim; claims are never evicted to free capacity */
  hasCapacity (): boolean {
    return this.claims.size < MAX_CLAIMS
  }

  /**
   * @param request - claim of a key
   * @returns the reply that follows from an earlier claim of the key; undefined if the key may be claimed
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
   * Adds the claim of a request that is about to run.
   * @param request - the claim
   */
  addClaim (request: Omit<ClaimRequest, 'issuedBy'>): void {
    const settleDeadlineAt = this.clock.now() + request.settleWithinMs + SETTLE_GRACE_PERIOD_MS
    this.claims.set(request.id, { bodyHash: request.bodyHash, state: { kind: 'running', requestId: request.requestId, settleDeadlineAt } })
  }

  /**
   * Records the outcome of a request.
   * @param settlement - outcome reported by the entry that ran the request
   * @returns whether the request held the key
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
    this.storeOutcome(settlement.id, outcome)
    return true
  }

  /**
   * Removes a claim and its recorded response.
   * @param id - ID of the claim
   */
  removeClaim (id: string): void {
    this.claims.delete(id)
    this.outcomeBytes -= this.outcomeSizes.get(id) ?? 0
    this.outcomeSizes.delete(id)
  }

  /** Returns the state of a claim. A request that was not settled in time counts as lost. */
  private settled (claim: Claim): ClaimState {
    if (claim.state.kind === 'running' && claim.state.settleDeadlineAt < this.clock.now()) claim.state = { kind: 'lost' }
    return claim.state
  }

  /** Records a response. The oldest responses are evicted if the limit is exceeded; their keys stay claimed. */
  private storeOutcome (id: string, outcome: RecordedResponse): void {
    const bytes = outcome.bodyBase64.length
    this.outcomeSizes.set(id, bytes)
    this.outcomeBytes += bytes
    for (const [oldest, size] of this.outcomeSizes) {
      if (this.outcomeBytes <= MAX_STORED_OUTCOME_BYTES) return
      this.outcomeSizes.delete(oldest)
      this.outcomeBytes -= size
      const claim = this.claims.get(oldest)
      if (claim?.state.kind === 'answered') claim.state = { ...claim.state, outcome: undefined }
    }
  }
}
