/**
 * Slot allotments against fixed shares, power of two choices and a message per request, at the brief's sizes:
 * peaks of five times the mean, at one pool in turn, arriving unevenly at the entries.
 * @module
 */
import type { ClassDoc } from '@wisteriaslip/config.documents'
import { Executors } from './executors.ts'
import { Allotments } from './policies/allotments.ts'
import { FixedShares, MessagePerRequest, TwoChoices } from './policies/baselines.ts'
import { sizes, type SlotPolicy } from './policies/policy.ts'
import { Random } from './random.ts'
import { quantile, round } from './statistics.ts'
import { VirtualLoop } from './virtual-loop.ts'

const RUN_MS = 60_000
const PEAK_SHARE = 0.2
const CYCLE_MS = 20_000
const SERVICE_MS = 40
const DEADLINE_MS = 2_000
const CAPACITY_PER_MS = sizes.executors * sizes.slots / SERVICE_MS
/** Mean load as a share of capacity; five times that is more than the pool holds. */
const MEAN_LOAD = 0.24
const PEAK_FACTOR = 5
const QUIET_FACTOR = 0.05
/** Share of a peak's requests that arrive at one entry, as its callers keep their connections. */
const HOT_SHARE = 0.45

/** What one policy made of the load. */
export interface PolicyResult {
  readonly completed: number
  readonly offered: number
  readonly waitP50Ms: number
  readonly waitP99Ms: number
  readonly overruns: number
  readonly controlBytesPerEntryPerSecond: number
}

const CLASSES: ClassDoc[] = [{ kind: 'class', name: 'normal', rank: 0, floor: 0 }]

/**
 * Control traffic of allotments under peaks that follow each other at different speeds.
 * @param cycleMs - time from one peak to the next
 * @param seed - of the load
 * @returns bytes a second for each entry and pool
 */
export async function controlBytesAt (cycleMs: number, seed: number): Promise<number> {
  const loop = new VirtualLoop()
  const executors = new Executors(loop, { count: sizes.executors, slots: sizes.slots, oneWayMs: sizes.oneWayMs })
  const result = await runLoad(loop, executors, new Allotments(loop, executors, { classes: CLASSES, tenants: [] }), new Random(seed), cycleMs)
  return result.controlBytesPerEntryPerSecond
}

/**
 * Runs the same load under each policy.
 * @param seed - of the load
 * @returns results by policy
 */
export async function benchAllotments (seed: number): Promise<Record<string, PolicyResult>> {
  const results: Record<string, PolicyResult> = {}
  const make: Array<(loop: VirtualLoop, executors: Executors) => SlotPolicy> = [
    (loop, executors) => new Allotments(loop, executors, { classes: CLASSES, tenants: [] }),
    (loop, executors) => new FixedShares(loop, executors),
    (loop, executors) => new TwoChoices(loop, executors, new Random(seed + 1)),
    (loop, executors) => new MessagePerRequest(loop, executors)
  ]
  for (const each of make) {
    const loop = new VirtualLoop()
    const executors = new Executors(loop, { count: sizes.executors, slots: sizes.slots, oneWayMs: sizes.oneWayMs })
    const policy = each(loop, executors)
    results[policy.name] = await runLoad(loop, executors, policy, new Random(seed))
  }
  return results
}

async function runLoad (loop: VirtualLoop, executors: Executors, policy: SlotPolicy, random: Random, cycleMs = CYCLE_MS): Promise<PolicyResult> {
  const waits: number[] = []
  let offered = 0
  let completed = 0
  const arrive = (): void => {
    const phase = loop.now() % cycleMs
    const factor = phase < cycleMs * PEAK_SHARE ? PEAK_FACTOR : QUIET_FACTOR
    const hot = Math.floor(loop.now() / cycleMs) % sizes.entries
    offered += 1
    const at = loop.now()
    let started = Number.POSITIVE_INFINITY
    policy.submit({
      entry: random.uniform() < HOT_SHARE ? hot : random.below(sizes.entries),
      class: 'normal',
      tenant: 'everyone',
      serviceMs: random.exponential(SERVICE_MS),
      deadlineMs: DEADLINE_MS,
      onStart: () => {
        started = loop.now() - at
        waits.push(started)
      },
      onEnd: ran => { if (ran && started <= DEADLINE_MS) completed += 1 }
    })
    loop.after(random.exponential(1 / (CAPACITY_PER_MS * MEAN_LOAD * factor)), arrive)
  }
  loop.after(2_000, arrive)
  await loop.run(RUN_MS)
  return {
    offered,
    completed,
    waitP50Ms: round(quantile(waits, 0.5)),
    waitP99Ms: round(quantile(waits, 0.99)),
    overruns: executors.overruns,
    controlBytesPerEntryPerSecond: round(policy.controlBytes() / sizes.entries / (RUN_MS / 1_000), 0)
  }
}
