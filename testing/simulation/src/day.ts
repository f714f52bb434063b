import { endOf, type Day, type DayEvent } from './day-events.ts'
import { Dice } from './dice.ts'
import type { LinkCut } from './entry-link.ts'
import { scenes, singles, type DrawOpts } from './scenes.ts'
import { jobId, likeJob, services } from './site-jobs.ts'

/** Processors of a VM, in thousandths of a core. */
const VM_CPU = 8_000
const WARM_UP_MS = 6_000
/** Scenes of one phase begin within this time of each other. */
const MAX_SCENE_GAP_MS = 4_000
/** A wait that is not allowed fits into this time, after the last fault and what it leaves behind. */
const CALM_MS = { least: 13_000, most: 16_000 }
const LAST_CALM_MS = { least: 15_000, most: 20_000 }
/** Of all VMs of a service, this share may be lost for good. */
const MAX_LOST_SHARE = 0.4
const cutHows: readonly LinkCut[] = ['silent', 'silent', 'reset', 'one-way']

/**
 * Draws a scenario: faults that overlap in one or two phases, mostly around a change of a leader, each followed by calm
 * time, with planned work at any time.
 * @param seed - the same seed draws the same scenario
 * @returns the scenario
 */
export function drawDay (seed: number): Day {
  const dice = new Dice(seed)
  const entries = dice.from(3, 5)
  const pools = [...services.map(name => ({ name, vms: dice.from(3, 4) })), { name: 'spare', vms: dice.from(1, 2), standby: true }]
  const vmsOf = (service: string): number[] => {
    const before = pools.slice(0, pools.findIndex(({ name }) => name === service)).reduce((sum, { vms }) => sum + vms, 0)
    return Array.from({ length: pools.find(({ name }) => name === service)?.vms ?? 0 }, (_, number) => before + number)
  }
  const opts: DrawOpts = { dice, entries, services, vmsOf, cut: () => dice.pick(cutHows) }
  const jobs = services.flatMap(service => lastingJobs(dice, service, vmsOf(service).length))
  const events: DayEvent[] = [{ kind: 'submit', atMs: 500, jobs }, ...drawTraffic(dice)]
  if (dice.chance(0.4)) events.push(...replaceJob(dice, dice.pick(jobs)))
  let atMs = WARM_UP_MS
  const phases = dice.chance(0.4) ? 2 : 1
  for (let phase = 0; phase < phases; phase++) {
    const drawn = drawPhase(opts, atMs)
    events.push(...drawn)
    const calm = phase === phases - 1 ? LAST_CALM_MS : CALM_MS
    atMs = Math.max(atMs, ...drawn.map(endOf)) + dice.from(calm.least, calm.most)
  }
  if (dice.chance(0.6)) events.push(...drawPlanned(opts, atMs))
  return { seed, entries, pools, events: limitLosses(events, vmsOf).sort((a, b) => a.atMs - b.atMs), endMs: atMs }
}

function drawPhase (opts: DrawOpts, fromMs: number): DayEvent[] {
  const { dice } = opts
  const events: DayEvent[] = []
  let atMs = fromMs
  for (let scene = dice.from(1, 3); scene > 0; scene--) {
    events.push(...dice.pick(scenes)(opts, atMs))
    events.push(...dice.some(singles, 0.12).map(single => single(opts, atMs + dice.from(0, 3_000))))
    atMs += dice.below(MAX_SCENE_GAP_MS)
  }
  return events
}

/** Waves, drains and demand that make VMs move, also in calm times. */
function drawPlanned ({ dice, services, vmsOf }: DrawOpts, untilMs: number): DayEvent[] {
  const all = services.flatMap(vmsOf)
  return Array.from({ length: dice.from(1, 2) }, (): DayEvent => {
    const atMs = dice.from(WARM_UP_MS - 2_000, untilMs - 5_000)
    if (dice.chance(0.6)) return { kind: 'wave', atMs, vms: dice.someOrOne(all, 0.4), durationMs: dice.from(6_000, 20_000), cap: dice.from(1, 2) }
    return { kind: 'reclaim', atMs, vms: [dice.pick(all)], noticeMs: 4_500, forMs: dice.from(500, 4_000), returns: dice.chance(0.7) }
  })
}

/**
 * Long-running jobs of a service: few tasks, or so many that most of its workers are full, or several jobs of which each
 * worker runs one task, with much memory.
 */
function lastingJobs (dice: Dice, service: string, vms: number): string[] {
  if (dice.chance(0.5)) return Array.from({ length: dice.from(1, 4) }, (_, number) => jobId({ service, tasks: dice.from(2, vms + 1), cpu: dice.from(500, 1_000), memMb: dice.from(3_000, 30_000), perWorker: 1, runMs: Infinity }, number))
  if (dice.chance(0.5)) return Array.from({ length: dice.from(1, 2) }, (_, number) => jobId({ service, tasks: dice.from(1, 4), cpu: dice.from(200, 2_500), runMs: Infinity }, number))
  const cpu = dice.from(1_200, 3_900)
  const tasks = Math.floor(vms * Math.floor(VM_CPU / cpu) * dice.from(40, 75) / 100)
  return [jobId({ service, tasks, cpu, runMs: Infinity }, 1), jobId({ service, tasks: dice.from(1, 3), cpu: dice.from(200, 800), runMs: Infinity }, 2)]
}

/** A long-running job is cancelled, and one like it is submitted before or after that. */
function replaceJob (dice: Dice, job: string): DayEvent[] {
  const atMs = dice.from(4_000, 25_000)
  return [{ kind: 'cancel', atMs, job }, { kind: 'submit', atMs: atMs + dice.from(-3_000, 3_000), jobs: [likeJob(job)] }]
}

/** Jobs that end by themselves, most of them for one service for a while, then for the other. */
function drawTraffic (dice: Dice): DayEvent[] {
  const everyMs = dice.chance(0.3) ? dice.from(500, 900) : dice.from(1_500, 3_000)
  return Array.from({ length: Math.floor(60_000 / everyMs) }, (_, number): DayEvent => {
    const atMs = 1_000 + number * everyMs
    const peak = services[Math.floor(atMs / 9_000) % services.length] ?? services[0]
    const service = dice.chance(0.7) ? peak : dice.pick(services)
    return { kind: 'submit', atMs, jobs: [jobId({ service, tasks: dice.from(1, 6), cpu: dice.from(500, 2_500), runMs: dice.from(300, 4_000) }, number)] }
  })
}

/** Leaves out losses for good beyond what leaves room for all tasks. */
function limitLosses (events: readonly DayEvent[], vmsOf: (service: string) => number[]): DayEvent[] {
  const left = new Map(services.flatMap(service => vmsOf(service).map((vm): [number, string] => [vm, service])))
  const lost = new Map<string, number>()
  return events.flatMap(event => {
    if (event.kind !== 'lose' && (event.kind !== 'reclaim' || event.returns)) return event
    const vms = event.vms.filter(vm => {
      const service = left.get(vm)
      if (service === undefined || (lost.get(service) ?? 0) + 1 > vmsOf(service).length * MAX_LOST_SHARE) return false
      left.delete(vm)
      lost.set(service, (lost.get(service) ?? 0) + 1)
      return true
    })
    return vms.length === 0 ? [] : { ...event, vms }
  })
}
