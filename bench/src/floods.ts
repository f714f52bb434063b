/**
 * Measures the throughput that each class and client account keeps, and its 99th percentile wait, while another one
 * floods the pool.
 * @module
 */
import type { ClassDoc, TenantDoc } from '@wisteriaslip/config.documents'
import { SimulatedExecutors } from './executors.ts'
import { AllotmentPolicy } from './policies/allotments.ts'
import { simulationParams } from './policies/policy.ts'
import { SeededRandom } from './random.ts'
import { quantile, round } from './statistics.ts'
import { VirtualLoop } from './virtual-loop.ts'

const RUN_DURATION_MS = 40_000
const WARM_UP_MS = 5_000
const MEAN_SERVICE_MS = 40
const DEADLINE_MS = 4_000
const CAPACITY_REQUESTS_PER_MS = simulationParams.executors * simulationParams.slots / MEAN_SERVICE_MS
const FLOOD_LOAD = 3

/** A steady stream of requests of one class and client account; `load` is a fraction of the pool's capacity. */
interface RequestStream { readonly class: string, readonly tenant: string, readonly load: number }

/** Figures of one stream; `keptThroughput` is its throughput under the flood divided by that without. */
export interface StreamRetention {
  readonly stream: string
  readonly keptThroughput: number
  readonly waitP99Ms: { readonly calm: number, readonly flooded: number }
}

const CLASSES: ClassDoc[] = [
  { kind: 'class', name: 'urgent', rank: 0, floor: 0.3 },
  { kind: 'class', name: 'normal', rank: 1, floor: 0.3 },
  { kind: 'class', name: 'background', rank: 2, floor: 0.15 }
]
const TENANTS: TenantDoc[] = ['steady', 'other', 'flooder'].map(name => ({ kind: 'tenant', name, quota: 1 }))

/** Each stream stays within the floor of its class and, within the class, the quota of its client account. */
const STREAMS: readonly RequestStream[] = [
  { class: 'urgent', tenant: 'steady', load: 0.1 },
  { class: 'urgent', tenant: 'other', load: 0.1 },
  { class: 'normal', tenant: 'steady', load: 0.12 },
  { class: 'normal', tenant: 'other', load: 0.12 },
  { class: 'background', tenant: 'steady', load: 0.1 }
]

/** Floods by name: from the least urgent class, from the most urgent class, and from one client account within a class. */
export const floods: Readonly<Record<string, RequestStream>> = {
  background: { class: 'background', tenant: 'flooder', load: FLOOD_LOAD },
  urgent: { class: 'urgent', tenant: 'flooder', load: FLOOD_LOAD },
  'tenant-in-normal': { class: 'normal', tenant: 'flooder', load: FLOOD_LOAD }
}

/**
 * Measures every stream without and with a flood, which arrives at two of the entries.
 * @param flood - key of `floods`
 * @param seed - seed of the load
 * @returns figures of each stream
 */
export async function benchFlood (flood: string, seed: number): Promise<StreamRetention[]> {
  const calm = await runStreams(undefined, seed)
  const flooded = await runStreams(floods[flood], seed)
  return STREAMS.map(stream => {
    const name = streamName(stream)
    const before = calm.get(name) ?? { completed: 0, waits: [] }
    const after = flooded.get(name) ?? { completed: 0, waits: [] }
    return {
      stream: name,
      keptThroughput: round(after.completed / before.completed, 3),
      waitP99Ms: { calm: round(quantile(before.waits, 0.99), 1), flooded: round(quantile(after.waits, 0.99), 1) }
    }
  })
}

interface StreamMeasurement { completed: number, readonly waits: number[] }

async function runStreams (flood: RequestStream | undefined, seed: number): Promise<Map<string, StreamMeasurement>> {
  const loop = new VirtualLoop()
  const executors = new SimulatedExecutors(loop, { count: simulationParams.executors, slots: simulationParams.slots, oneWayMs: simulationParams.oneWayMs })
  const policy = new AllotmentPolicy(loop, executors, { classes: CLASSES, tenants: TENANTS })
  const measurements = new Map<string, StreamMeasurement>()
  STREAMS.forEach((stream, index) => startStream(loop, policy, stream, new SeededRandom(seed + index), measurements, simulationParams.entries))
  if (flood !== undefined) startStream(loop, policy, flood, new SeededRandom(seed + 99), measurements, 2)
  await loop.run(RUN_DURATION_MS)
  return measurements
}

function startStream (loop: VirtualLoop, policy: AllotmentPolicy, stream: RequestStream, random: SeededRandom, measurements: Map<string, StreamMeasurement>, entries: number): void {
  const measurement: StreamMeasurement = { completed: 0, waits: [] }
  measurements.set(streamName(stream), measurement)
  const arrive = (): void => {
    const at = loop.now()
    const isMeasured = at >= WARM_UP_MS
    policy.submit({
      entry: random.integerBelow(entries),
      class: stream.class,
      tenant: stream.tenant,
      serviceMs: random.exponential(MEAN_SERVICE_MS),
      deadlineMs: DEADLINE_MS,
      onStart: () => { if (isMeasured) measurement.waits.push(loop.now() - at) },
      onEnd: ran => { if (isMeasured && ran) measurement.completed += 1 }
    })
    loop.after(random.exponential(1 / (CAPACITY_REQUESTS_PER_MS * stream.load)), arrive)
  }
  loop.after(2_000, arrive)
}

function streamName (stream: RequestStream): string {
  return `${stream.class}/${stream.tenant}`
}
