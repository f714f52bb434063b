/** Steps of a VM's disruption, in order. */
export const disruptionPhases = {
  /** No new work; work under way ends. */
  draining: 'draining',
  /** The reboot has been asked for. */
  rebooting: 'rebooting',
  /** It did not come back in time. It still counts against the budget, but its wave goes on without it. */
  overdue: 'overdue'
} as const

/** A voluntary disruption of one VM. It counts against the pool's budget until it is removed. */
export interface Disruption {
  readonly reason: 'maintenance' | 'move'
  /** The wave, for maintenance. */
  readonly wave?: string
  /** The pool that the VM moves to. */
  readonly to?: string
  readonly phase: keyof typeof disruptionPhases
  /** Wall-clock time in milliseconds when the phase began. */
  readonly since: number
  /** Boot id before the reboot. */
  readonly bootId?: string
  /** Id under which the reboot is asked for; asking twice reboots once. */
  readonly rebootId?: string
}

/** How far a wave has come in a pool. */
export interface WaveProgress {
  readonly done: readonly string[]
  readonly setAside: ReadonlyArray<{ readonly vm: string, readonly reason: string }>
}

/** One pool's ledger, one value in the store. */
export interface PoolLedger {
  readonly members: readonly string[]
  readonly places: Readonly<Record<string, Disruption>>
  readonly waves: Readonly<Record<string, WaveProgress>>
}

/** The ledger of a pool without VMs. */
export const emptyLedger: PoolLedger = { members: [], places: {}, waves: {} }
