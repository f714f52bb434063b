/** Phases of a VM's disruption, in order. */
export const disruptionPhases = {
  /** The VM gets no new work; work in progress runs to its end. */
  draining: 'draining',
  /** The reboot has been requested. */
  rebooting: 'rebooting',
  /** The VM did not come back in time. It still counts against the budget, but its wave continues without it. */
  overdue: 'overdue'
} as const

/** A voluntary disruption of one VM. It counts against the pool's budget until it is removed. */
export interface Disruption {
  readonly reason: 'maintenance' | 'move'
  /** Name of the wave; maintenance only. */
  readonly wave?: string
  /** Generation of the configuration in which the wave was declared. */
  readonly waveDeclaredIn?: number | undefined
  /** Name of the destination pool; moves only. */
  readonly to?: string
  readonly phase: keyof typeof disruptionPhases
  /** Wall-clock time in milliseconds when the phase began. */
  readonly since: number
  /** Boot id before the reboot. */
  readonly bootId?: string
  /** Request id of the reboot; repeated requests with the same id reboot the VM only once. */
  readonly rebootId?: string
  /** Wall-clock time in milliseconds when the platform had accepted the request of the reboot. */
  readonly acceptedAt?: number
}

/** Progress of a wave in one pool. */
export interface WaveProgress {
  /** Generation of the configuration in which the wave was declared. */
  readonly declaredIn?: number | undefined
  /** VMs whose maintenance is complete. */
  readonly done: readonly string[]
  /** Skipped VMs and why. */
  readonly setAside: ReadonlyArray<{ readonly vm: string, readonly reason: string }>
}

/** The ledger of one pool, stored as a single value. */
export interface PoolLedger {
  /** Names of the pool's VMs. */
  readonly members: readonly string[]
  /** Disruptions by VM name. */
  readonly places: Readonly<Record<string, Disruption>>
  /** Progress by wave name. */
  readonly waves: Readonly<Record<string, WaveProgress>>
}

/** The ledger of a pool without VMs. */
export const emptyLedger: PoolLedger = { members: [], places: {}, waves: {} }
