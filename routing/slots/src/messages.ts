/** Number of requests of one class and client account, running or waiting, at one entry. */
export interface Demand {
  readonly class: string
  readonly tenant: string
  readonly count: number
}

/** Slots of one target that one entry lent to another while the leader did not respond. */
export interface Loan {
  readonly id: string
  /** Incarnation of the lender. */
  readonly from: string
  /** Incarnation of the borrower. */
  readonly to: string
  readonly target: string
  readonly slots: number
}

/** State of one pool at an entry, as reported to the pool's leader. */
export interface PoolReport {
  readonly pool: string
  /** Fencing token of the leader that the report is meant for. */
  readonly token: number
  /** Slots held, by target. */
  readonly held: Readonly<Record<string, number>>
  readonly demand: readonly Demand[]
  /** Loans that the leader has not confirmed yet. */
  readonly loans: readonly Loan[]
  /** Targets that recently refused work because they are leaving, or that could not be reached. */
  readonly leaving: readonly string[]
}

/** A message from an entry to a leader, covering any number of the pools that it leads. */
export interface SlotReport {
  readonly from: string
  readonly incarnation: string
  /** Increases with each report of this incarnation; reports that arrive out of order are ignored. */
  readonly seq: number
  /** Whether the entry recently received a reply from this leader. */
  readonly heard: boolean
  readonly pools: readonly PoolReport[]
}

/** A leader's reply to the report for one pool. */
export interface PoolGrant {
  readonly pool: string
  readonly token: number
  /** Additional slots that the entry may hold, by target. */
  readonly add: Readonly<Record<string, number>>
  /** How many slots the entry must give back: idle ones first, the others as their requests end. */
  readonly giveBack: number
  /** Targets that any entry recently reported as leaving or unreachable. */
  readonly avoid: readonly string[]
  /** Ids of the loans that the leader has accounted for. */
  readonly settled: readonly string[]
}

/** The reply to a report. */
export interface SlotReply {
  readonly pools: readonly PoolGrant[]
  /** Tokens of pools that were not reported and whose allotments stay valid. */
  readonly renewed: readonly number[]
  /** Tokens of pools that were not reported and whose leader wants a report, to grant slots or to reclaim some. */
  readonly asked: readonly number[]
}
