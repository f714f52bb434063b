import { delay, type Clock } from '@wisteriaslip/core.result'
import type { ClaimReply, ClaimRequest, ClaimSettlement, Outcome } from '@wisteriaslip/peers.protocol'

const ASK_AGAIN_MS = 100
/** How long an owner may be out of reach before the caller is told so. */
const UNAVAILABLE_MS = 2_000
const SETTLE_TRIES = 5
const SETTLE_RETRY_MS = 300

/** Who decides on idempotency keys: the owner of the key's partition, or the entry that issued it. */
export interface ClaimOwner {
  claim (request: ClaimRequest, signal: AbortSignal): Promise<ClaimReply>
  /** @returns whether the owner took note */
  settle (settlement: ClaimSettlement): Promise<boolean>
}

/** What a keyed request may do. */
export type ClaimVerdict =
  | { readonly kind: 'run' }
  | { readonly kind: 'answered', readonly outcome: Outcome }
  | { readonly kind: 'lost' | 'different' | 'unavailable' | 'still-running' }

/**
 * Claims a key, waiting while another request with the same key is under way.
 * @param owner - who decides
 * @param request - the claim
 * @param opts - clock, the caller's deadline by it, and a signal that gives up
 * @returns the verdict
 */
export async function claimKey (owner: ClaimOwner, request: ClaimRequest, opts: { clock: Clock, deadlineAt: number, signal: AbortSignal }): Promise<ClaimVerdict> {
  let heardAt = opts.clock.now()
  let waited = false
  while (true) {
    const reply = await askOnce(owner, request, opts)
    if (reply.state === 'run' || reply.state === 'lost' || reply.state === 'different') return { kind: reply.state }
    if (reply.state === 'answered') return { kind: 'answered', outcome: reply.outcome }
    if (reply.state === 'running') {
      waited = true
      heardAt = opts.clock.now()
    }
    const unheard = opts.clock.now() - heardAt >= UNAVAILABLE_MS
    const late = opts.clock.now() + ASK_AGAIN_MS >= opts.deadlineAt
    if (unheard || late || !await delay(ASK_AGAIN_MS, opts.signal)) return { kind: waited ? 'still-running' : 'unavailable' }
  }
}

/** An owner that does not answer counts as unavailable once the caller's deadline is there. */
async function askOnce (owner: ClaimOwner, request: ClaimRequest, opts: { clock: Clock, deadlineAt: number, signal: AbortSignal }): Promise<ClaimReply> {
  const answered = new AbortController()
  const late = delay(Math.max(0, opts.deadlineAt - opts.clock.now()), answered.signal).then((): ClaimReply => ({ state: 'unavailable' }))
  const reply = await Promise.race([owner.claim(request, opts.signal), late])
  answered.abort()
  return reply
}

/**
 * Tells the owner how a claimed request ended; tries a few times.
 * @param owner - who decided
 * @param settlement - how it ended
 */
export async function settleKey (owner: ClaimOwner, settlement: ClaimSettlement): Promise<void> {
  for (let attempt = 0; attempt < SETTLE_TRIES; attempt++) {
    if (await owner.settle(settlement)) return
    await delay(SETTLE_RETRY_MS, new AbortController().signal)
  }
}
