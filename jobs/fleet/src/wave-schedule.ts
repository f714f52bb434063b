import type { Vm } from '@wisteriaslip/jobs.model'
import type { DownVms } from './down-vms.ts'
import { openWorkers, workersOf } from './service-workers.ts'
import type { WaveTracker } from './wave-tracker.ts'

/** Maintenance is spread over this share of the wave's duration. */
const SCHEDULE_SHARE = 0.85
/**
 * VMs with long-running tasks that are drained in advance, relative to the wave's limit of VMs that are down at once. Their
 * drains take longest, as only a few tasks of a step may move at a time.
 */
const DRAINED_AHEAD_SHARE = 1 / 3
/** A VM that takes longer to drain goes on draining, but other VMs are drained in its place. */
export const DRAIN_PATIENCE_MS = 6_000

/** Load of a VM's worker. */
export interface VmLoad {
  readonly runs: number
  /** Number of runs of long-running tasks. */
  readonly lastingRuns: number
  /** Whether its worker responds; undefined if none is known. */
  readonly usable?: boolean
}

/** The fleet as the schedule sees it. */
export interface FleetSnapshot {
  /** The listed VMs by id. */
  readonly vms: ReadonlyMap<string, Vm>
  readonly down: DownVms
  readonly load: (vm: string) => VmLoad
  /** Ids of the VMs that were found drained in the previous pass. */
  readonly drained: ReadonlySet<string>
  /** Ids of the VMs whose drains have given way for now; none by default. */
  readonly resting?: ReadonlySet<string>
  /** Time of the injected clock, in milliseconds. */
  readonly now: number
}

/** A VM to drain and then maintain for a wave. */
export interface PlannedMaintenance {
  readonly wave: WaveTracker
  readonly vm: string
}

/**
 * Counts VMs against the limits of waves, whichever wave took them down: operators limit how many VMs of a wave may be
 * missing at once.
 */
export class DownCounts {
  private readonly waves: readonly WaveTracker[]
  private readonly counted = new Set<string>()
  private readonly counts = new Map<WaveTracker, number>()
  /** VMs that a wave no longer names, with requests that may take effect if it names them again. */
  private readonly former: ReadonlyMap<WaveTracker, ReadonlySet<string>>

  /**
   * Counts the VMs that are down, and those that waves no longer name and that may go down if they name them again.
   * @param waves - the waves that are not done
   * @param fleet - the fleet
   */
  constructor (waves: readonly WaveTracker[], { down, now }: Pick<FleetSnapshot, 'down' | 'now'>) {
    this.waves = waves
    this.former = new Map(waves.map(wave => [wave, new Set(wave.formerRequests(now))]))
    for (const vm of down.ids()) this.add(vm)
    for (const vms of this.former.values()) for (const vm of vms) this.add(vm)
  }

  /** @param vm - id of a VM that may go down */
  add (vm: string): void {
    if (this.counted.has(vm)) return
    this.counted.add(vm)
    for (const wave of this.waves) {
      if (wave.names(vm) || this.former.get(wave)?.has(vm) === true) this.counts.set(wave, this.of(wave) + 1)
    }
  }

  /**
   * @param wave - a wave
   * @returns number of its VMs that are or may be down
   */
  of (wave: WaveTracker): number {
    return this.counts.get(wave) ?? 0
  }

  /**
   * @param vm - id of a VM of the wave
   * @param wave - a wave
   * @returns number of its other VMs that are or may be down
   */
  without (vm: string, wave: WaveTracker): number {
    return this.of(wave) - (this.counted.has(vm) ? 1 : 0)
  }
}

/**
 * @param waves - the waves that are not done
 * @param fleet - the fleet
 * @returns the VMs that are down, and those with requests that may yet take effect, also if a wave no longer names them
 */
export function countDown (waves: readonly WaveTracker[], fleet: FleetSnapshot): DownCounts {
  const counts = new DownCounts(waves, fleet)
  for (const wave of waves) {
    for (const vm of wave.inPhase('requested')) if (mayGoDown(wave, vm, fleet)) counts.add(vm)
  }
  return counts
}

/**
 * @param wave - a wave
 * @param vm - id of a VM that was requested for it
 * @param fleet - the fleet
 * @returns whether the request may still take the VM down
 */
export function mayGoDown (wave: WaveTracker, vm: string, fleet: FleetSnapshot): boolean {
  return wave.mayTakeEffect(vm, fleet.now) && fleet.vms.get(vm)?.state !== 'down'
}

/**
 * Plans the waves in the order in which they end: first the repetition of requests that may have taken effect, then other
 * VMs, each for one wave at a time.
 * @param waves - the waves that are not done
 * @param fleet - the fleet
 * @returns the VMs to drain and to maintain once they are drained; the caller keeps to the limits of the waves when it
 * requests maintenance
 */
export function planWaves (waves: readonly WaveTracker[], fleet: FleetSnapshot): PlannedMaintenance[] {
  const inOrder = [...waves].sort(byEnd)
  const counts = countDown(waves, fleet)
  const planned: PlannedMaintenance[] = inOrder.flatMap(wave => wave.inPhase('requested').map(vm => ({ wave, vm })))
  const taken = new Set(planned.map(({ vm }) => vm))
  for (const wave of inOrder) {
    const chosen = chooseNext(wave, counts.of(wave), fleet, taken)
    wave.markPlanned(chosen, fleet.now)
    for (const vm of chosen) {
      planned.push({ wave, vm })
      taken.add(vm)
    }
  }
  return planned
}

interface Candidate extends VmLoad {
  readonly id: string
  /** For how long it has been planned for the wave, in milliseconds; -1 if it was not in the previous pass. */
  readonly plannedMs: number
  /** It is drained, and was planned before. */
  readonly isReady: boolean
}

/**
 * Chooses the VMs of one wave, which is ahead of its schedule by one batch at most, less what is missing for other waves:
 * those that return from another wave's maintenance, because they are still empty; as many as the limit leaves now or soon
 * and the schedule has reached; and some with long-running tasks in advance.
 */
function chooseNext (wave: WaveTracker, downCount: number, fleet: FleetSnapshot, taken: ReadonlySet<string>): string[] {
  const { cap } = wave.wave
  const waiting = wave.inPhase('waiting').filter(vm => !taken.has(vm))
  const returning = waiting.filter(vm => fleet.down.has(vm))
  const up = waiting.filter(vm => !fleet.down.has(vm) && fleet.vms.get(vm)?.state === 'up').map(vm => toCandidate(vm, wave, fleet))
  const requestable = up.filter(({ id }) => wave.mayRequest(id, fleet.now)).sort(byReadiness)
  const refused = up.filter(each => !requestable.includes(each) && each.isReady && each.plannedMs <= DRAIN_PATIENCE_MS)
  const drainable = requestable.filter(({ id }) => fleet.resting?.has(id) !== true)
  const kept = keptOpen(drainable, fleet, new Set([...taken, ...refused.map(({ id }) => id)]))
  const candidates = drainable.filter(({ id }) => !kept.has(id))
  const slow = candidates.filter(isSlow)
  const others = candidates.filter(each => !isSlow(each))
  const ready = others.filter(({ isReady }) => isReady).length
  const due = dueCount(wave, { now: fleet.now, ahead: Math.max(0, cap - countOthers(wave, fleet, taken)) })
  const soonFree = wave.wave.vms.filter(vm => fleet.down.isAboutToReturn(vm, fleet.now)).length
  const count = Math.max(0, Math.min(cap - downCount + soonFree, Math.max(ready, due)))
  const longDrains = candidates.filter(each => each.lastingRuns > 0).sort((a, b) => a.lastingRuns - b.lastingRuns)
  const ahead = longDrains.slice(0, Math.ceil(cap * DRAINED_AHEAD_SHARE))
  const chosen = [...others.slice(0, count), ...slow.slice(0, cap), ...refused.slice(0, cap), ...ahead].map(({ id }) => id)
  return [...new Set([...returning.slice(0, cap), ...chosen])]
}

/**
 * Returns one VM of each service with several workers of which no other would stay open: long-running tasks could move nowhere, and
 * short ones would wait for the end of drains that may not end. VMs without long-running tasks need not be kept, as their drains end.
 */
function keptOpen (candidates: readonly Candidate[], fleet: FleetSnapshot, taken: ReadonlySet<string>): Set<string> {
  const byId = new Map(candidates.map(each => [each.id, each]))
  const pools = new Set(candidates.flatMap(({ id }) => fleet.vms.get(id)?.pool ?? []))
  return new Set([...pools].flatMap(pool => {
    const workers = workersOf(pool, fleet)
    const open = openWorkers(workers, taken)
    if (workers.length < 2 || open.some(vm => !byId.has(vm))) return []
    const keepable = open.flatMap(vm => byId.get(vm) ?? []).filter(({ lastingRuns, isReady }) => lastingRuns > 0 && !isReady)
    keepable.sort((a, b) => a.plannedMs - b.plannedMs || b.lastingRuns - a.lastingRuns)
    return keepable.slice(0, 1).map(({ id }) => id)
  }))
}

/** Number of VMs that are missing for other waves: down, or being drained for waves that end earlier. */
function countOthers (wave: WaveTracker, fleet: FleetSnapshot, taken: ReadonlySet<string>): number {
  const down = [...fleet.down.ids()].filter(vm => wave.stateOf(vm, fleet.now)?.phase !== 'begun')
  return new Set([...down, ...taken]).size
}

/** Number of VMs that the schedule has reached, plus those that it is `ahead`, minus those that have begun. */
function dueCount (wave: WaveTracker, { now, ahead }: { now: number, ahead: number }): number {
  const elapsedShare = wave.elapsedMs(now) / Math.max(1, wave.wave.durationMs * SCHEDULE_SHARE)
  return Math.ceil(elapsedShare * wave.size()) + ahead - (wave.size() - wave.inPhase('waiting').length)
}

function toCandidate (id: string, wave: WaveTracker, fleet: FleetSnapshot): Candidate {
  const plannedMs = wave.plannedMs(id, fleet.now) ?? -1
  return { id, ...fleet.load(id), plannedMs, isReady: plannedMs >= 0 && fleet.drained.has(id) }
}

/** Drained VMs come first, then those whose drains began first, so that drains are not given up, then those with the fewest runs. */
function byReadiness (a: Candidate, b: Candidate): number {
  return Number(b.isReady) - Number(a.isReady) || b.plannedMs - a.plannedMs || a.runs - b.runs
}

function isSlow ({ plannedMs, isReady }: Candidate): boolean {
  return plannedMs > DRAIN_PATIENCE_MS && !isReady
}

function byEnd (a: WaveTracker, b: WaveTracker): number {
  return a.endsAt - b.endsAt || a.wave.number - b.wave.number
}
