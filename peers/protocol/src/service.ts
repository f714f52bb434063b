import type { Decision, SubjectKind } from '@wisteriaslip/core.decisions'
import type { Delta } from '@wisteriaslip/store.mirror'
import type { DriverError, DriverTxn, KeyRange } from '@wisteriaslip/store.client'
import type { Result } from '@wisteriaslip/core.result'
import type { Loan, SlotReply, SlotReport } from '@wisteriaslip/routing.slots'

/** Heartbeat of a peer, with the revision that its copy of the state has reached. */
export interface SyncRequest {
  readonly from: string
  readonly incarnation: string
  readonly revision: number
}

/** What the peer knows beyond that revision. */
export interface SyncReply {
  readonly incarnation: string
  readonly revision: number
  readonly storeAvailable: boolean
  /** Incarnations of the leaders that answered this peer within the holding time. */
  readonly hearing: readonly string[]
  readonly delta?: Delta | undefined
}

/** The whole answer that a keyed request got. */
export interface Outcome {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly bodyBase64: string
}

/** Asks the owner of an idempotency key whether the request may run. */
export interface ClaimRequest {
  /** Hash over tenant, workload and key. */
  readonly id: string
  readonly bodyHash: string
  readonly requestId: string
  /** Longest time until the request is settled, in milliseconds. */
  readonly settleWithinMs: number
  /** Incarnation that issued the key; undefined for a key of the caller's own. */
  readonly issuedBy?: string | undefined
}

/** The owner's answer to a claim. */
export type ClaimReply =
  | { readonly state: 'run' }
  | { readonly state: 'running' }
  | { readonly state: 'answered', readonly outcome: Outcome }
  | { readonly state: 'lost' }
  | { readonly state: 'different' }
  | { readonly state: 'unavailable' }

/** Tells the owner how a claimed request ended. */
export interface ClaimSettlement {
  readonly id: string
  readonly requestId: string
  readonly issuedBy?: string | undefined
  /** `released`: it was never sent, and the key may be used again. */
  readonly result: 'released' | 'lost' | { readonly outcome: Outcome }
}

/** A call on the store that a peer makes for an entry that cannot reach it. */
export type RelayRequest =
  | { readonly op: 'range', readonly key: string, readonly prefix: boolean, readonly minModRevision?: number | undefined }
  | { readonly op: 'txn', readonly txn: DriverTxn }
  | { readonly op: 'grant', readonly ttlMs: number }
  | { readonly op: 'keepAlive', readonly leaseId: string }
  | { readonly op: 'revoke', readonly leaseId: string }

/** Result of a relayed call, by operation. */
export type RelayReply = Result<KeyRange | { succeeded: boolean, revision: number } | string | null, DriverError>

/** Capacity of a pool and the work that wants it. */
export interface PoolLoad {
  readonly pool: string
  readonly capacity: number
  readonly demand: number
}

/** What an entry does for its peers. */
export interface PeerService {
  sync (req: SyncRequest): Promise<SyncReply>
  report (req: SlotReport): Promise<SlotReply>
  nudge (req: { from: string }): Promise<void>
  borrow (req: { pool: string, to: string, slots: number }): Promise<Loan[]>
  claim (req: ClaimRequest): Promise<ClaimReply>
  settle (req: ClaimSettlement): Promise<void>
  relay (req: RelayRequest): Promise<RelayReply>
  loads (): Promise<PoolLoad[]>
  explain (req: { kind: SubjectKind, name: string }): Promise<readonly Decision[]>
}
