import type { Dice, Event } from './dice.ts'
import type { SoakSite } from './site.ts'
import { mayRemove } from './vm-faults.ts'

const MAX_EXTRA_DRAIN_MS = 4_000
const MAX_PAUSE_MS = 5_000
const MIN_WAVE_S = 6
const MAX_WAVE_S = 20

/** Kinds of planned work, which is no fault: entries are told before, or decide about it. */
export const plannedKinds: readonly Event[] = [declareWave, drainWorker, drainWorker]

async function declareWave (site: SoakSite, dice: Dice): Promise<void> {
  const machines = dice.some(site.hosts.filter(host => host.exists()), 0.5).map(({ vm }) => vm)
  site.vmPlatform.declareWave({ machines, durationS: MIN_WAVE_S + dice.below(MAX_WAVE_S - MIN_WAVE_S), cap: 1 + dice.below(3) })
}

async function drainWorker (site: SoakSite, dice: Dice, signal: AbortSignal): Promise<void> {
  const host = dice.pick(site.hosts)
  await host.drain({ extraMs: dice.below(MAX_EXTRA_DRAIN_MS), pauseMs: dice.below(MAX_PAUSE_MS), remove: dice.chance(0.3) && mayRemove(site) }, signal)
}
