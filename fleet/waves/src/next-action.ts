import type { WaveDoc } from '@wisteriaslip/config.documents'
import type { Disruption } from '@wisteriaslip/fleet.ledger'

/** Observed state of a VM under disruption. */
export interface VmObservation {
  /** Whether no entry holds, or may hold, a slot of the VM, and no task runs on it. */
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
  | { readonly kind: 'ask-reboot' }
  | { readonly kind: 'assign' }
  | { readonly kind: 'finish' }
  | { readonly kind: 'give-up', readonly reason: 'DRAIN_TIMEOUT' | 'WAVE_CANCELLED' }
  | { readonly kind: 'overdue' }

/**
 * Decides the next step of a disruption.
 * @param disruption - disruption recorded in the ledger
 * @param wave - wave that started it; undefined for a move or a deleted wave
 * @param seen - observed state of the VM
 * @returns the next step
 */
export function nextAction (disruption: Disruption, wave: WaveDoc | undefined, seen: VmObservation): DisruptionAction {
  switch (disruption.phase) {
    case 'draining': return nextActionWhileDraining(disruption, wave, seen)
    case 'rebooting': return nextActionWhileRebooting(disruption, wave, seen)
    case 'overdue': return isBackInService(disruption, seen) ? { kind: 'finish' } : { kind: 'wait', reason: 'OVERDUE' }
  }
}

/** A drain that exceeds its timeout is abandoned, because maintenance never interrupts work in progress. */
function nextActionWhileDraining (disruption: Disruption, wave: WaveDoc | undefined, seen: VmObservation): DisruptionAction {
  if (disruption.reason === 'move') return seen.drained ? { kind: 'assign' } : { kind: 'wait', reason: 'DRAINING' }
  if (wave === undefined || wave.state === 'cancelled') return { kind: 'give-up', reason: 'WAVE_CANCELLED' }
  if (seen.drained) return { kind: 'reboot' }
  if (seen.now - disruption.since > wave.drainTimeoutMs) return { kind: 'give-up', reason: 'DRAIN_TIMEOUT' }
  return { kind: 'wait', reason: 'DRAINING' }
}

function nextActionWhileRebooting (disruption: Disruption, wave: WaveDoc | undefined, seen: VmObservation): DisruptionAction {
  if (isBackInService(disruption, seen)) return { kind: 'finish' }
  const returnTimeoutMs = wave?.returnTimeoutMs ?? 0
  if (seen.now - disruption.since > returnTimeoutMs) return { kind: 'overdue' }
  return seen.liveBootId === disruption.bootId ? { kind: 'ask-reboot' } : { kind: 'wait', reason: 'REBOOTING' }
}

function isBackInService (disruption: Disruption, seen: VmObservation): boolean {
  return seen.liveBootId !== undefined && seen.liveBootId !== disruption.bootId && seen.reachable
}
