/**
 * Compares slot allotments with fixed shares, power of two choices and a message per request, at the sizes of the
 * requirements. Pools peak in turn at five times their mean load; one pool is simulated, and its requests arrive unevenly
 * at the entries.
 * @module
 */
import type { ClassDoc } from '@wisteriaslip/config.documents'
import { SimulatedExecutors } from './executors.ts'
import { AllotmentPolicy } from './policies/allotments.ts'
import { FixedSharePolicy, MessagePerRequestPolicy, TwoChoicesPolicy } from './policies/baselines.ts'
import { simulationParams, type SlotPolicy } from './policies/policy.ts'
import { SeededRandom } from './random.ts'
import { quantile, round } from './statistics.ts'
import { VirtualLoop } from './virtual-loop.ts'

const RUN_DURATION_MS = 60_000
const PEAK_FRACTION_OF_CYCLE = 0.2
const CYCLE_MS = 20_000
const MEAN_SERVICE_MS = 40
const DEADLINE_MS = 2_000
const CAPACITY_REQUESTS_PER_MS = simulationParams.executors * simulationParams.slots / MEAN_SERVICE_MS
/** Mean load as a fraction of capacity; a peak exceeds the pool's capacity. */
const MEAN_LOAD = 0.24
const PEAK_LOAD_FACTOR = 5
const OFF_PEAK_LOAD_FACTOR = 0.05
/** Fraction of requests that go to one entry per cycle: callers keep their connections, so arrivals are uneven. */
const HOT_ENTRY_FRACTION = 0.45

/** Figures of one policy; `completed` counts requests that started in time and completed. */
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
 * Measures the control traffic of the allotment policy.
 * @param cycleMs - time from one peak to the next
 * @param seed - seed of the load
 * @returns control bytes per second for each entry and pool
 */
export async function measureControlBytes (cycleMs: number, seed: number): Promise<number> {
  const loop = new VirtualLoop()
  const executors = new SimulatedExecutors(loop, { count: simulationParams.executors, slots: simulationParams.slots, oneWayMs: simulationParams.oneWayMs })
  const result = await runLoad(loop, executors, new AllotmentPolicy(loop, executors, { classes: CLASSES, tenants: [] }), new SeededRandom(seed), cycleMs)
  return result.controlBytesPerEntryPerSecond
}

/**
 * Runs the same load under each policy.
 * @param seed - seed of the load
 * @returns results by policy name
 */
export async function benchAllotments (seed: number): Promise<Record<string, PolicyResult>> {
  const results: Record<string, PolicyResult> = {}
  const policyFactories: Array<(loop: VirtualLoop, executors: SimulatedExecutors) => SlotPolicy> = [
    (loop, executors) => new AllotmentPolicy(loop, executors, { classes: CLASSES, tenants: [] }),
    (loop, executors) => new FixedSharePolicy(loop, executors),
    (loop, executors) => new TwoChoicesPolicy(loop, executors, new SeededRandom(seed + 1)),
    (loop, executors) => new MessagePerRequestPolicy(loop, executors)
  ]
  for (const makePolicy of policyFactories) {
    const loop = new VirtualLoop()
    const executors = new SimulatedExecutors(loop, { count: simulationParams.executors, slots: simulationParams.slots, oneWayMs: simulationParams.oneWayMs })
    const policy = makePolicy(loop, executors)
    results[policy.name] = await runLoad(loop, executors, policy, new SeededRandom(seed))
  }
  return results
}

async function runLoad (loop: VirtualLoop, executors: SimulatedExecutors, policy: SlotPolicy, random: SeededRandom, cycleMs = CYCLE_MS): Promise<PolicyResult> {
  const waits: number[] = []
  let offered = 0
  let completed = 0
  const arrive = (): void => {
    const phase = loop.now() % cycleMs
    const factor = phase < cycleMs * PEAK_FRACTION_OF_CYCLE ? PEAK_LOAD_FACTOR : OFF_PEAK_LOAD_FACTOR
    const hotEntry = Math.floor(loop.now() / cycleMs) % simulationParams.entries
    offered += 1
    const at = loop.now()
    let startDelayMs = Number.POSITIVE_INFINITY
    policy.submit({
      entry: random.uniform() < HOT_ENTRY_FRACTION ? hotEntry : random.integerBelow(simulationParams.entries),
      class: 'normal',
      tenant: 'everyone',
      serviceMs: random.exponential(MEAN_SERVICE_MS),
      deadlineMs: DEADLINE_MS,
      onStart: () => {
        startDelayMs = loop.now() - at
        waits.push(startDelayMs)
      },
      onEnd: ran => { if (ran && startDelayMs <= DEADLINE_MS) completed += 1 }
    })
    loop.after(random.exponential(1 / (CAPACITY_REQUESTS_PER_MS * MEAN_LOAD * factor)), arrive)
  }
  loop.after(2_000, arrive)
  await loop.run(RUN_DURATION_MS)
  return {
    offered,
    completed,
    waitP50Ms: round(quantile(waits, 0.5)),
    waitP99Ms: round(quantile(waits, 0.99)),
    overruns: executors.overruns,
    controlBytesPerEntryPerSecond: round(policy.controlBytes() / simulationParams.entries / (RUN_DURATION_MS / 1_000), 0)
  }
}
