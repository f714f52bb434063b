import type { Decision } from '@wisteriaslip/core.decisions'

/** State of a member as seen by one entry. */
export interface MemberStatus {
  readonly id: string
  readonly zone: string
  readonly incarnation: string
  /** Store revision in effect at the member; undefined if the member has not replied. */
  readonly revision: number | undefined
  readonly storeAvailable: boolean | undefined
}

/** Progress of a wave in one pool. */
export interface WaveStatus {
  readonly wave: string
  readonly state: string
  readonly pool: string
  readonly total: number
  readonly done: number
  readonly underWay: readonly string[]
  /** For each VM under way, the reason code of the step that it waits for, as in the decisions about the VM. */
  readonly phases: Readonly<Record<string, string>>
  readonly setAside: ReadonlyArray<{ readonly vm: string, readonly reason: string }>
}

/** Response body of `GET /v1/status`. */
export interface EntryStatus {
  readonly id: string
  readonly ready: boolean
  readonly revision: number
  readonly storeAvailable: boolean
  readonly members: readonly MemberStatus[]
  readonly pools: ReadonlyArray<{
    readonly pool: string
    readonly leader: string | undefined
    readonly vms: Readonly<Record<string, string>>
    readonly slotsHeld: number
    readonly slotsBusy: number
    readonly waiting: number
  }>
  readonly waves: readonly WaveStatus[]
  readonly latencies: Readonly<Record<string, { count: number, p50Ms: number, p99Ms: number }>>
}

/** Response body of `GET /v1/explain`. */
export interface Explanation {
  readonly present: Readonly<Record<string, unknown>>
  readonly decisions: readonly Decision[]
}
