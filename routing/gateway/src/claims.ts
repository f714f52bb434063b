import { delay, type Clock } from '@wisteriaslip/core.result'
import type { ClaimReply, ClaimRequest, ClaimSettlement, RecordedResponse } from '@wisteriaslip/peers.protocol'

/** Interval between claim attempts while the owner is unavailable or another request with the same key is running. */
const CLAIM_RETRY_INTERVAL_MS = 100
/** How long the owner may be unavailable before the caller gets an error. */
const OWNER_UNAVAILABLE_TIMEOUT_MS = 2_000
const MAX_SETTLE_ATTEMPTS = 5
const SETTLE_RETRY_INTERVAL_MS = 300

/** Client of the owner of an idempotency key: the owner of the key's partition, or the entry that issued the key. */
export interface ClaimOwner {
  claim (request: ClaimRequest, signal: AbortSignal): Promise<ClaimReply>
  /** @returns false if the settlement must be sent again; true once the owner has received it, or if the owner is gone */
  settle (settlement: ClaimSettlement): Promise<boolean>
}

/** Result of claiming an idempotency key. */
export type ClaimVerdict =
  | { readonly kind: 'run' }
  | { readonly kind: 'answered', readonly recordedResponse: RecordedResponse }
  | { readonly kind: 'lost' | 'different' | 'unavailable' | 'still-running' }

/**
 * Claims an idempotency key, waiting while another request with the same key is in progress.
 * @param owner - owner of the key
 * @param request - the claim
 * @param opts - clock, the caller's deadline in milliseconds by that clock, and a signal that cancels the claim
 * @returns whether the request may run, or the reason why it may not
 */
export async function claimKey (owner: ClaimOwner, request: ClaimRequest, opts: { clock: Clock, deadlineAt: number, signal: AbortSignal }): Promise<ClaimVerdict> {
  let ownerLastAvailableAt = opts.clock.now()
  let otherRequestSeen = false
  while (true) {
    const reply = await claimOnce(owner, request, opts)
    if (reply.state === 'run' || reply.state === 'lost' || reply.state === 'different') return { kind: reply.state }
    if (reply.state === 'answered') return { kind: 'answered', recordedResponse: reply.outcome }
    if (reply.state === 'running') {
      otherRequestSeen = true
      ownerLastAvailableAt = opts.clock.now()
    }
    const ownerUnavailable = opts.clock.now() - ownerLastAvailableAt >= OWNER_UNAVAILABLE_TIMEOUT_MS
    const deadlineTooClose = opts.clock.now() + CLAIM_RETRY_INTERVAL_MS >= opts.deadlineAt
    if (ownerUnavailable || deadlineTooClose || !await delay(CLAIM_RETRY_INTERVAL_MS, opts.signal)) return { kind: otherRequestSeen ? 'still-running' : 'unavailable' }
  }
}

/** Claims the key once. An owner that has not replied by the caller's deadline counts as unavailable. */
async function claimOnce (owner: ClaimOwner, request: ClaimRequest, opts: { clock: Clock, deadlineAt: number, signal: AbortSignal }): Promise<ClaimReply> {
  const replied = new AbortController()
  const deadlineReply = delay(Math.max(0, opts.deadlineAt - opts.clock.now()), replied.signal).then((): ClaimReply => ({ state: 'unavailable' }))
  const reply = await Promise.race([owner.claim(request, opts.signal), deadlineReply])
  replied.abort()
  return reply
}

/**
 * Reports the outcome of a claimed request to the owner of the key, with a limited number of retries. After the last
 * failed attempt it returns without an error.
 * @param owner - owner of the key
 * @param settlement - outcome of the request
 */
export async function settleClaim (owner: ClaimOwner, settlement: ClaimSettlement): Promise<void> {
  for (let attempt = 0; attempt < MAX_SETTLE_ATTEMPTS; attempt++) {
    if (await owner.settle(settlement)) return
    await delay(SETTLE_RETRY_INTERVAL_MS, new AbortController().signal)
  }
}
