import type { WaveDoc } from '@wisteriaslip/config.documents'
import type { Disruption } from '@wisteriaslip/fleet.ledger'

/** What is seen of a VM under disruption. */
export interface VmObservation {
  /** Whether no entry holds, or may hold, a slot of it, and no task runs on it. */
  readonly drained: boolean
  /** Boot id as last listed; undefined when it is not listed as live. */
  readonly liveBootId: string | undefined
  /** Whether it accepts connections. */
  readonly reachable: boolean
  /** Wall-clock time in milliseconds. */
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
 * Decides the next step for a VM under disruption.
 * @param place - as recorded
 * @param wave - the wave that took it; undefined for a move or a wave that was deleted
 * @param seen - what is seen of the VM
 * @returns the step
 */
export function nextAction (place: Disruption, wave: WaveDoc | undefined, seen: VmObservation): DisruptionAction {
  switch (place.phase) {
    case 'draining': return whileDraining(place, wave, seen)
    case 'rebooting': return whileRebooting(place, wave, seen)
    case 'overdue': return isBack(place, seen) ? { kind: 'finish' } : { kind: 'wait', reason: 'OVERDUE' }
  }
}

/** A drain that takes too long is given up: work under way is never cut off for maintenance. */
function whileDraining (place: Disruption, wave: WaveDoc | undefined, seen: VmObservation): DisruptionAction {
  if (place.reason === 'move') return seen.drained ? { kind: 'assign' } : { kind: 'wait', reason: 'DRAINING' }
  if (wave === undefined || wave.state === 'cancelled') return { kind: 'give-up', reason: 'WAVE_CANCELLED' }
  if (seen.drained) return { kind: 'reboot' }
  if (seen.now - place.since > wave.drainTimeoutMs) return { kind: 'give-up', reason: 'DRAIN_TIMEOUT' }
  return { kind: 'wait', reason: 'DRAINING' }
}

function whileRebooting (place: Disruption, wave: WaveDoc | undefined, seen: VmObservation): DisruptionAction {
  if (isBack(place, seen)) return { kind: 'finish' }
  const returnTimeoutMs = wave?.returnTimeoutMs ?? 0
  if (seen.now - place.since > returnTimeoutMs) return { kind: 'overdue' }
  return seen.liveBootId === place.bootId ? { kind: 'ask-reboot' } : { kind: 'wait', reason: 'REBOOTING' }
}

function isBack (place: Disruption, seen: VmObservation): boolean {
  return seen.liveBootId !== undefined && seen.liveBootId !== place.bootId && seen.reachable
}
