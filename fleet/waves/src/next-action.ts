import type { WaveDoc } from '@wisteriaslip/config.documents'
import type { Disruption } from '@wisteriaslip/fleet.ledger'

/** How far the platform's VM list may lag behind the state of the VMs, with the time between two lists. */
const MAX_LIST_LAG_MS = 5_000

/** Observed state of a VM under disruption. */
export interface VmObservation {
  /** Whether no entry holds, or may hold, a slot of the VM. */
  readonly drained: boolean
  /** Boot id in the platform's latest VM list; undefined unless the VM is listed as live. */
  readonly liveBootId: string | undefined
  /** Whether the VM accepts connections. */
  readonly reachable: boolean
  /** Wall-clock time of the observation, in milliseconds. */
  readonly now: number
}

/** The next step of a disruption. */
export type DisruptionAction =
  | { readonly kind: 'wait', readonly reason: 'DRAINING' | 'REBOOTING' | 'OVERDUE' }
  | { readonly kind: 'reboot' }
  | { readonly kind: 'repeat-reboot' }
  | { readonly kind: 'assign' }
  | { readonly kind: 'finish' }
  | { readonly kind: 'abandon', readonly reason: 'DRAIN_TIMEOUT' | 'WAVE_CANCELLED' }
  | { readonly kind: 'overdue' }

/**
 * Decides the next step of a disruption.
 * @param disruption - disruption recorded in the ledger
 * @param wave - wave that started it; undefined for a move or a deleted wave
 * @param observation - observed state of the VM
 * @returns the next step
 */
export function nextAction (disruption: Disruption, wave: WaveDoc | undefined, observation: VmObservation): DisruptionAction {
  switch (disruption.phase) {
    case 'draining': return nextActionWhileDraining(disruption, wave, observation)
    case 'rebooting': return nextActionWhileRebooting(disruption, wave, observation)
    case 'overdue': return nextActionWhileOverdue(disruption, observation)
  }
}

/** A drain that exceeds its timeout is abandoned, because maintenance never interrupts work in progress. */
function nextActionWhileDraining (disruption: Disruption, wave: WaveDoc | undefined, observation: VmObservation): DisruptionAction {
  if (disruption.reason === 'move') return observation.drained ? { kind: 'assign' } : { kind: 'wait', reason: 'DRAINING' }
  if (wave === undefined || wave.state === 'cancelled') return { kind: 'abandon', reason: 'WAVE_CANCELLED' }
  if (observation.drained) return { kind: 'reboot' }
  if (observation.now - disruption.since > wave.drainTimeoutMs) return { kind: 'abandon', reason: 'DRAIN_TIMEOUT' }
  return { kind: 'wait', reason: 'DRAINING' }
}

function nextActionWhileRebooting (disruption: Disruption, wave: WaveDoc | undefined, observation: VmObservation): DisruptionAction {
  if (isBackInService(disruption, observation)) return { kind: 'finish' }
  const isAccepted = disruption.acceptedAt !== undefined
  if (isAccepted && hasRestarted(disruption, observation)) return { kind: 'wait', reason: 'REBOOTING' }
  const returnTimeoutMs = wave?.returnTimeoutMs ?? 0
  if (observation.now - disruption.since > returnTimeoutMs) return { kind: 'overdue' }
  return !isAccepted || observation.liveBootId === disruption.bootId ? { kind: 'repeat-reboot' } : { kind: 'wait', reason: 'REBOOTING' }
}

function nextActionWhileOverdue (disruption: Disruption, observation: VmObservation): DisruptionAction {
  if (isBackInService(disruption, observation)) return { kind: 'finish' }
  return disruption.acceptedAt === undefined ? { kind: 'repeat-reboot' } : { kind: 'wait', reason: 'OVERDUE' }
}

/**
 * A VM may restart by itself: its new boot id says nothing about a reboot that the platform has not accepted, or that the
 * list cannot show yet.
 */
function isBackInService (disruption: Disruption, observation: VmObservation): boolean {
  const { acceptedAt } = disruption
  return acceptedAt !== undefined && elapsedMs(acceptedAt, observation) >= MAX_LIST_LAG_MS && hasRestarted(disruption, observation)
}

/** The time may lie in the future if the clock was set back, or is that of an earlier leader. */
function elapsedMs (since: number, { now }: VmObservation): number {
  return Math.abs(now - since)
}

function hasRestarted ({ bootId }: Disruption, { liveBootId, reachable }: VmObservation): boolean {
  return liveBootId !== undefined && liveBootId !== bootId && reachable
}
