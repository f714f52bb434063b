import type { Clock } from '@wisteriaslip/core.result'
import type { ClaimReply, ClaimRequest, ClaimSettlement, RecordedResponse } from '@wisteriaslip/peers.protocol'

/** Limit of the total size of the recorded responses, by the length of their base64 bodies. */
const MAX_RECORDED_RESPONSE_BYTES = 16 * 1024 * 1024
/** Added to the time within which a request must be settled, before its outcome counts as lost. */
const SETTLE_GRACE_PERIOD_MS = 2_000
const MAX_CLAIMS = 500_000

type ClaimState =
  | { readonly kind: 'running', readonly requestId: string, readonly settleDeadlineAt: number }
  | { readonly kind: 'answered', readonly requestId: string, readonly recordedResponse: RecordedResponse | undefined }
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
  private readonly recordedResponseSizes = new Map<string, number>()
  private recordedResponseBytes = 0

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
    const state = this.currentStateOf(claim)
    if (state.kind === 'released') return undefined
    if (state.kind === 'lost') return { state: 'lost' }
    if (state.kind === 'running') return state.requestId === request.requestId ? { state: 'run' } : { state: 'running' }
    return state.recordedResponse === undefined ? { state: 'lost' } : { state: 'answered', outcome: state.recordedResponse }
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
    const recordedResponse = settlement.result.outcome
    claim.state = { kind: 'answered', requestId: settlement.requestId, recordedResponse }
    this.storeRecordedResponse(settlement.id, recordedResponse)
    return true
  }

  /**
   * Removes a claim and its recorded response.
   * @param id - ID of the claim
   */
  removeClaim (id: string): void {
    this.claims.delete(id)
    this.recordedResponseBytes -= this.recordedResponseSizes.get(id) ?? 0
    this.recordedResponseSizes.delete(id)
  }

  /** Returns the state of a claim. A request that was not settled in time counts as lost. */
  private currentStateOf (claim: Claim): ClaimState {
    if (claim.state.kind === 'running' && claim.state.settleDeadlineAt < this.clock.now()) claim.state = { kind: 'lost' }
    return claim.state
  }

  /** Records a response. The oldest responses are evicted if the limit is exceeded; their keys stay claimed. */
  private storeRecordedResponse (id: string, recordedResponse: RecordedResponse): void {
    const bytes = recordedResponse.bodyBase64.length
    this.recordedResponseSizes.set(id, bytes)
    this.recordedResponseBytes += bytes
    for (const [oldest, size] of this.recordedResponseSizes) {
      if (this.recordedResponseBytes <= MAX_RECORDED_RESPONSE_BYTES) return
      this.recordedResponseSizes.delete(oldest)
      this.recordedResponseBytes -= size
      const claim = this.claims.get(oldest)
      if (claim?.state.kind === 'answered') claim.state = { ...claim.state, recordedResponse: undefined }
    }
  }
}
