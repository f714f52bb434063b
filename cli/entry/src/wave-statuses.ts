import type { WaveStatus } from '@wisteriaslip/cli.operators'
import { matchesSelector, type FleetConfig, type PoolDoc, type WaveDoc } from '@wisteriaslip/config.documents'
import { progressOf } from '@wisteriaslip/fleet.ledger'
import type { FleetView } from '@wisteriaslip/fleet.view'

/**
 * Returns the progress of each wave in each pool that has VMs of it.
 * @param config - configuration in effect
 * @param fleet - pools and their VMs
 * @returns progress by wave and pool
 */
export function waveStatuses (config: FleetConfig | undefined, fleet: Pick<FleetView, 'ledger' | 'vmsOf'>): WaveStatus[] {
  if (config === undefined) return []
  return config.waves.flatMap(wave => config.pools.flatMap(pool => waveStatus(wave, config.waveDeclaredIn(wave.name), pool, fleet) ?? []))
}

function waveStatus (wave: WaveDoc, declaredIn: number | undefined, pool: PoolDoc, fleet: Pick<FleetView, 'ledger' | 'vmsOf'>): WaveStatus | undefined {
  const ledger = fleet.ledger(pool.name)
  const progress = progressOf(ledger, wave.name, declaredIn)
  const selected = [...fleet.vmsOf(pool.name).values()].filter(({ vm }) => matchesSelector(wave.selector, vm.labels)).map(({ vm }) => vm.name)
  if (selected.length === 0) return undefined
  const done = selected.filter(vm => progress.done.includes(vm)).length
  const places = Object.entries(ledger.places).filter(([, disruption]) => disruption.wave === wave.name && disruption.waveDeclaredIn === declaredIn)
  const phases = Object.fromEntries(places.map(([vm, { phase }]) => [vm, phase.toUpperCase()]))
  return { wave: wave.name, state: wave.state, pool: pool.name, total: selected.length, done, underWay: Object.keys(phases), phases, setAside: progress.setAside }
}
