import type { FleetSnapshot } from './wave-schedule.ts'
import type { VmPhase } from './vm-phases.ts'
import type { WaveTracker } from './wave-tracker.ts'

/** What a VM of a wave waits for. */
export const waitReasons = {
  unanswered: 'UNANSWERED',
  unreadable: 'UNREADABLE',
  notListed: 'NOT_LISTED',
  vmDown: 'VM_DOWN',
  vmMoving: 'VM_MOVING',
  otherWave: 'OTHER_WAVE',
  limit: 'LIMIT',
  schedule: 'SCHEDULE',
  draining: 'DRAINING',
  gaveWay: 'GAVE_WAY',
  workerSilent: 'WORKER_SILENT'
} as const

/** What is known about a VM of a wave besides the wave's own progress. */
export interface WaitContext {
  readonly fleet: FleetSnapshot
  /** Ids of VMs that are listed, but whose description cannot be decoded. */
  readonly unreadable: ReadonlySet<string>
  /** Whether it is planned for this wave now. */
  readonly planned: boolean
  /** Whether it is planned for another wave now. */
  readonly plannedElsewhere: boolean
  /** Whether nothing runs on it, and nothing will. */
  readonly drained: boolean
  /** Whether as many VMs of the wave are down as its limit allows. */
  readonly limitReached: boolean
}

/**
 * Explains why the maintenance of a VM has not begun.
 * @param wave - progress of the wave
 * @param vm - id of the VM
 * @param context - what else is known about the VM
 * @returns the reason, also `REFUSED_` and the platform's reason; undefined if its maintenance has begun or it is gone
 */
export function vmWaits (wave: WaveTracker, vm: string, context: WaitContext): string | undefined {
  const { fleet, drained, limitReached } = context
  const state = wave.stateOf(vm, fleet.now)
  if (state === undefined || state.phase === 'begun' || state.phase === 'gone') return undefined
  if (state.refusal !== undefined) return `REFUSED_${state.refusal.toUpperCase()}`
  if (state.phase === 'requested') return waitReasons.unanswered
  if (context.unreadable.has(vm)) return waitReasons.unreadable
  const listed = fleet.vms.get(vm)
  if (listed === undefined) return waitReasons.notListed
  if (fleet.down.has(vm) || context.plannedElsewhere) return waitReasons.otherWave
  if (listed.state === 'down') return waitReasons.vmDown
  if (listed.state !== 'up') return waitReasons.vmMoving
  if (!context.planned && fleet.resting?.has(vm) === true) return waitReasons.gaveWay
  if (!context.planned) return limitReached ? waitReasons.limit : waitReasons.schedule
  if (drained) return waitReasons.limit
  return fleet.load(vm).runs > 0 ? waitReasons.draining : waitReasons.workerSilent
}

/** What a VM waits for that has not begun. */
export interface VmWait {
  readonly vm: string
  readonly waitsFor: string
}

/** Progress of a wave, as `explain` shows it. */
export interface WaveExplanation {
  /** What operators have been told: `running`, `completed`, or `unreported`. */
  readonly state: string
  /** Whether the completion is recorded, which comes before operators are told. */
  readonly recorded: boolean
  readonly cap: number
  /** VMs that count against the limit. */
  readonly down: number
  /** Negative when the wave is late. */
  readonly endsInMs: number
  readonly documentRevision: number
  /** Number of VMs by phase. */
  readonly phases: Readonly<Record<string, number>>
  /** Number of VMs that have not begun, by what they wait for. */
  readonly waits: Readonly<Record<string, number>>
  /** The VMs that have not begun. */
  readonly notBegun: Readonly<Record<string, { phase: VmPhase, forMs: number, refusal: string | undefined, waitsFor: string }>>
  /** Ids of the VMs that have left for good. */
  readonly gone: readonly string[]
}

/**
 * @param wave - progress of the wave
 * @param known - what operators have been told, what is recorded, VMs that are down, the time, and what VMs wait for
 * @returns the explanation: counts first, then the VMs that have not begun
 */
export function explainWave (wave: WaveTracker, known: { state: string, recorded: boolean, down: number, now: number, waits: readonly VmWait[] }): WaveExplanation {
  const { state, recorded, down, now, waits } = known
  const { cap, revision, vms } = wave.wave
  return {
    state,
    recorded,
    cap,
    down,
    endsInMs: Math.round(wave.endsAt - now),
    documentRevision: revision,
    phases: countBy(vms.flatMap(vm => wave.stateOf(vm, now)?.phase ?? [])),
    waits: countBy(waits.map(({ waitsFor }) => waitsFor)),
    notBegun: Object.fromEntries(waits.flatMap(({ vm, waitsFor }) => {
      const vmState = wave.stateOf(vm, now)
      return vmState === undefined ? [] : [[vm, { ...vmState, waitsFor }]]
    })),
    gone: wave.inPhase('gone')
  }
}

/**
 * @param values - values, some of them equal
 * @returns how often each occurs
 */
export function countBy (values: readonly string[]): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const value of values) counts[value] = (counts[value] ?? 0) + 1
  return counts
}
