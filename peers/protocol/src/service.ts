import type { Decision, SubjectKind } from '@wisteriaslip/core.decisions'
import type { Delta } from '@wisteriaslip/store.mirror'
import type { DriverError, DriverTxn, KeyRange } from '@wisteriaslip/store.client'
import type { Result } from '@wisteriaslip/core.result'
import type { Loan, SlotReply, SlotReport } from '@wisteriaslip/routing.slots'

/** Heartbeat of a peer, with the revision of its mirror. */
export interface SyncRequest {
  readonly from: string
  readonly incarnation: string
  readonly revision: number
}

/** Response to a heartbeat, with the changes after that revision. */
export interface SyncReply {
  readonly incarnation: string
  readonly revision: number
  /** Whether the peer itself reaches the store. */
  readonly storeAvailable: boolean
  /** Incarnations of the leaders from which the peer has received a reply within the leader contact timeout. */
  readonly hearing: readonly string[]
  readonly delta?: Delta | undefined
}

/** Complete response to a request with an idempotency key. */
export interface RecordedResponse {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly bodyBase64: string
}

/** Asks the owner of an idempotency key whether a request with this key may run. */
export interface ClaimRequest {
  /** Hash of client account, workload and key. */
  readonly id: string
  readonly bodyHash: string
  readonly requestId: string
  /** Maximum time until the outcome of the request is known, in milliseconds. */
  readonly settleWithinMs: number
  /** Incarnation that issued the key; undefined for a key chosen by the caller. */
  readonly issuedBy?: string | undefined
}

/** Reply of the key's owner to a claim. */
export type ClaimReply =
  | { readonly state: 'run' }
  | { readonly state: 'running' }
  | { readonly state: 'answered', readonly outcome: RecordedResponse }
  | { readonly state: 'lost' }
  | { readonly state: 'different' }
  | { readonly state: 'unavailable' }

/** Reports the outcome of a claimed request to the key's owner. */
export interface ClaimSettlement {
  readonly id: string
  readonly requestId: string
  readonly issuedBy?: string | undefined
  /** `released` means that the request was never sent and that the key may be used again. */
  readonly result: 'released' | 'lost' | { readonly outcome: RecordedResponse }
}

/** A store call that a peer makes on behalf of an entry that cannot reach the store. */
export type RelayRequest =
  | { readonly op: 'range', readonly key: string, readonly prefix: boolean, readonly minModRevision?: number | undefined }
  | { readonly op: 'txn', readonly txn: DriverTxn }
  | { readonly op: 'grant', readonly ttlMs: number }
  | { readonly op: 'keepAlive', readonly leaseId: string }
  | { readonly op: 'revoke', readonly leaseId: string }

/** Result of a relayed call; the value depends on the operation. */
export type RelayReply = Result<KeyRange | { succeeded: boolean, revision: number } | string | null, DriverError>

/** Capacity of a pool and its demand, both in slots. */
export interface PoolLoad {
  readonly pool: string
  readonly capacity: number
  readonly demand: number
}

/** Service that an entry provides to its peers. */
export interface PeerService {
  sync (req: SyncRequest): Promise<SyncReply>
  report (req: SlotReport): Promise<SlotReply>
  /** Requests an immediate slot report to the sender. */
  nudge (req: { from: string }): Promise<void>
  borrow (req: { pool: string, to: string, slots: number }): Promise<Loan[]>
  claim (req: ClaimRequest): Promise<ClaimReply>
  settle (req: ClaimSettlement): Promise<void>
  relay (req: RelayRequest): Promise<RelayReply>
  loads (): Promise<PoolLoad[]>
  explain (req: { kind: SubjectKind, name: string }): Promise<readonly Decision[]>
}
