/** Work of one class and tenant, running and waiting, at one entry. */
export interface Demand {
  readonly class: string
  readonly tenant: string
  readonly count: number
}

/** Slots of one target that a peer gave another while the leader did not answer. */
export interface Loan {
  readonly id: string
  readonly from: string
  readonly to: string
  readonly target: string
  readonly slots: number
}

/** What an entry tells a pool's leader. */
export interface PoolReport {
  readonly pool: string
  /** Fencing token of the leader that the entry takes this one to be. */
  readonly token: number
  /** Slots held, by target. */
  readonly held: Readonly<Record<string, number>>
  readonly demand: readonly Demand[]
  /** Loans that the leader has not confirmed yet. */
  readonly loans: readonly Loan[]
  /** Targets that refused work because they are leaving. */
  readonly leaving: readonly string[]
}

/** One message of an entry to one leader. */
export interface SlotReport {
  readonly from: string
  readonly incarnation: string
  /** Grows with each report of this incarnation; an older one that arrives late is ignored. */
  readonly seq: number
  /** Whether this leader answered the entry a moment ago. */
  readonly heard: boolean
  readonly pools: readonly PoolReport[]
}

/** What a leader answers for a pool. */
export interface PoolGrant {
  readonly pool: string
  readonly token: number
  /** Slots that the entry may hold in addition, by target. */
  readonly add: Readonly<Record<string, number>>
  /** How many slots the entry is to give back, idle ones first, the others as their work ends. */
  readonly giveBack: number
  /** Targets that other entries found to be leaving. */
  readonly avoid: readonly string[]
  /** Ids of the loans that the leader has taken into account. */
  readonly settled: readonly string[]
}

/** The answer to a report. */
export interface SlotReply {
  readonly pools: readonly PoolGrant[]
  /** Tokens of unreported pools whose allotments stay in force. */
  readonly renewed: readonly number[]
  /** Tokens of unreported pools of which the leader would like a report, as it has slots to give or wants some back. */
  readonly asked: readonly number[]
}
