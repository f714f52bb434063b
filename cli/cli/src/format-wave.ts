import type { WaveStatus } from '@wisteriaslip/cli.operators'
import type { Decision } from '@wisteriaslip/core.decisions'

/**
 * @param wave - progress of a wave in one pool
 * @returns lines that show it
 */
export function formatWaveStatus (wave: WaveStatus): string[] {
  const progress = `wave ${wave.wave} ${wave.state} in ${wave.pool}: ${wave.done} of ${wave.total} done, under way ${wave.underWay.join(', ') || 'none'}`
  return [progress, ...wave.setAside.map(skipped => `  set aside ${skipped.vm}: ${skipped.reason}`)]
}

/**
 * @param wave - progress of a wave in one pool
 * @param decisions - latest decisions about the wave in all pools, oldest first
 * @returns lines that show what it waits for: the VMs under way, and the reason why no further VM is started
 */
export function formatWaveWaits (wave: WaveStatus, decisions: readonly Decision[]): string[] {
  const lines = Object.entries(wave.phases).map(([vm, phase]) => `  waits for ${vm}: ${phase}`)
  const last = decisions.findLast(({ details }) => details.pool === wave.pool)
  if (last === undefined || wave.state !== 'running' || !hasVmsLeft(wave)) return lines
  return [...lines, `  waits since ${last.at}: ${last.reason} ${JSON.stringify(last.details)}`]
}

function hasVmsLeft (wave: WaveStatus): boolean {
  const started = new Set([...wave.underWay, ...wave.setAside.map(({ vm }) => vm)])
  return wave.total > wave.done + started.size
}
