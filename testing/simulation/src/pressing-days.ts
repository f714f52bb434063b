import type { Day, DayEvent } from './day-events.ts'
import { Dice } from './dice.ts'
import { jobId, services } from './site-jobs.ts'

const FIRST_FAULT_MS = 6_000
/** After the last fault its traces vanish, and then a wait that is not allowed shows. */
const CALM_MS = 18_000
/** Entries with so little of a processor hold leases for longer. */
const FEW_CORES = 0.12

/**
 * Draws a scenario in which VMs of a full service are drained, some of them for long, while another one is lost: tasks that
 * ran there may fit only where others are drained.
 * @param seed - the same seed draws the same scenario
 * @returns the scenario
 */
export function drawDrainDay (seed: number): Day {
  const dice = new Dice(seed)
  const entries = dice.from(3, 4)
  const [alpha, beta] = services
  const vms = dice.from(3, 4)
  const alphaVms = Array.from({ length: vms }, (_, number) => number)
  const waveAt = FIRST_FAULT_MS + dice.from(0, 2_000)
  const lostAt = waveAt + dice.from(200, 5_000)
  const events: DayEvent[] = [
    {
      kind: 'submit',
      atMs: 1_500,
      jobs: [
        jobId({ service: alpha, tasks: 3 * (vms - 2) + dice.from(1, 2), cpu: dice.from(2_200, 2_500), runMs: Infinity }, 1),
        jobId({ service: beta, tasks: 2, cpu: dice.from(5_000, 6_000), runMs: Infinity }, 2)
      ]
    },
    ...Array.from({ length: 3 }, (_, number): DayEvent => ({ kind: 'submit', atMs: 2_500 + number * 4_000, jobs: [jobId({ service: alpha, tasks: vms, cpu: dice.from(100, 500), runMs: dice.from(8_000, 25_000) }, 3 + number)] })),
    { kind: 'wave', atMs: waveAt, vms: alphaVms, durationMs: dice.from(8_000, 20_000), cap: 1 },
    dice.chance(0.7) ? { kind: 'lose', atMs: lostAt, vms: [dice.pick(alphaVms)] } : { kind: 'crash', atMs: lostAt, forMs: dice.from(3_000, 8_000), vms: [dice.pick(alphaVms)], sameId: dice.chance(0.5) }
  ]
  if (dice.chance(0.5)) events.push({ kind: 'kill', atMs: lostAt + dice.from(-1_000, 2_000), forMs: dice.from(100, 1_000), who: { leaderOf: dice.chance(0.5) ? 'fleet' : `service/${alpha}` } })
  return { seed, entries, pools: [{ name: alpha, vms }, { name: beta, vms: 2 }, { name: 'spare', vms: 0, standby: true }], events: events.sort((a, b) => a.atMs - b.atMs), endMs: lostAt + CALM_MS }
}

/** A scenario of {@link drawWholeDrainDay}. */
export interface WholeDrainDay extends Day {
  /** Number of VMs in the wave. */
  readonly drained: number
  /** Whether the long-running tasks fit on the service's other VMs while one of them is drained. */
  readonly fits: boolean
}

/**
 * Draws a calm scenario with a wave over all VMs of a service, whose long-running tasks fit on one VM less or fill all of them. Tasks
 * that end by themselves come all the while, and always fit beside these.
 * @param seed - the same seed draws the same scenario
 * @returns the scenario
 */
export function drawWholeDrainDay (seed: number): WholeDrainDay {
  const dice = new Dice(seed)
  const [alpha, beta] = services
  const vms = dice.from(1, 3)
  const fits = vms > 1 && dice.chance(0.5)
  const waveAt = FIRST_FAULT_MS + dice.from(0, 2_000)
  const events: DayEvent[] = [
    { kind: 'submit', atMs: 1_500, jobs: [jobId({ service: alpha, tasks: fits ? 3 * (vms - 1) : 3 * vms, cpu: dice.from(2_200, 2_500), runMs: Infinity }, 1), jobId({ service: beta, tasks: 2, cpu: dice.from(5_000, 6_000), runMs: Infinity }, 2)] },
    { kind: 'wave', atMs: waveAt, vms: Array.from({ length: vms }, (_, number) => number), durationMs: dice.from(8_000, 20_000), cap: dice.from(1, vms) },
    ...Array.from({ length: 16 }, (_, number): DayEvent => ({ kind: 'submit', atMs: waveAt - 1_000 + number * 1_500, jobs: [jobId({ service: alpha, tasks: 2, cpu: dice.from(50, 100), runMs: dice.from(300, 700) }, 3 + number)] }))
  ]
  return { seed, entries: 3, pools: [{ name: alpha, vms }, { name: beta, vms: 2 }, { name: 'spare', vms: 0, standby: true }], events: events.sort((a, b) => a.atMs - b.atMs), endMs: waveAt + 40_000, drained: vms, fits }
}

/**
 * Draws a scenario in which workers are lost for good around the ends of two leaders of their service, one after the other,
 * and their VMs are no longer listed.
 * @param seed - the same seed draws the same scenario
 * @returns the scenario
 */
export function drawTakeoverDay (seed: number): Day {
  const dice = new Dice(seed)
  const [alpha, beta] = services
  const vms = dice.from(4, 6)
  const lostAt = FIRST_FAULT_MS + dice.from(0, 1_000)
  const firstAt = lostAt + dice.from(-400, 1_200)
  const secondAt = firstAt + dice.from(2_500, 6_000)
  const kill = (atMs: number): DayEvent => ({ kind: 'kill', atMs, forMs: dice.from(100, 400), who: { leaderOf: `service/${alpha}` } })
  const events: DayEvent[] = [
    {
      kind: 'submit',
      atMs: 1_500,
      jobs: [
        jobId({ service: alpha, tasks: 2 * vms, cpu: dice.from(1_000, 2_000), runMs: Infinity }, 1),
        jobId({ service: beta, tasks: 3, cpu: dice.from(1_000, 3_000), runMs: Infinity }, 2)
      ]
    },
    { kind: 'lose', atMs: lostAt, vms: dice.chance(0.3) ? [0, 1] : [dice.below(vms)], listedAs: 'absent' },
    kill(firstAt),
    kill(secondAt)
  ]
  return { seed, entries: dice.from(3, 5), cores: FEW_CORES, pools: [{ name: alpha, vms }, { name: beta, vms: 2 }, { name: 'spare', vms: 1, standby: true }], events: events.sort((a, b) => a.atMs - b.atMs), endMs: Math.max(lostAt, secondAt) + CALM_MS }
}

/**
 * Draws a scenario in which the fleet's leader is cut off until another one leads, and reaches the store again while its
 * watches lag: it has a new lease before it knows that it no longer leads. A wave and demand give both something to order.
 * @param seed - the same seed draws the same scenario
 * @returns the scenario
 */
export function drawRegainDay (seed: number): Day {
  const dice = new Dice(seed)
  const [alpha, beta] = services
  const entries = dice.from(3, 5)
  const vms = dice.from(3, 4)
  const cutAt = FIRST_FAULT_MS + 2_000
  const forMs = dice.from(3_000, 4_000)
  const traffic = Array.from({ length: 12 }, (_, number): DayEvent => ({ kind: 'submit', atMs: 1_000 + number * 1_500, jobs: [jobId({ service: dice.pick(services), tasks: dice.from(4, 8), cpu: dice.from(500, 2_500), runMs: dice.from(500, 4_000) }, number)] }))
  const events: DayEvent[] = [
    { kind: 'submit', atMs: 500, jobs: services.map(service => jobId({ service, tasks: 3, cpu: 1_000, runMs: Infinity }, 99)) },
    ...traffic,
    { kind: 'wave', atMs: cutAt - 1_000, vms: Array.from({ length: 2 * vms }, (_, number) => number), durationMs: 12_000, cap: 2 },
    { kind: 'cut', atMs: cutAt, forMs, who: { leaderOf: 'fleet' }, from: ['store', 'peers'], how: 'silent', peers: Array.from({ length: entries }, (_, number) => number), vms: [] },
    { kind: 'watches-lag', atMs: cutAt + forMs - 1_000, forMs: 3_000, byMs: 2_500 }
  ]
  return { seed, entries, pools: [{ name: alpha, vms }, { name: beta, vms }, { name: 'spare', vms: 2, standby: true }], events: events.sort((a, b) => a.atMs - b.atMs), endMs: cutAt + CALM_MS }
}
