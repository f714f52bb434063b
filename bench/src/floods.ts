/**
 * What each class and tenant keeps of its throughput and its 99th percentile of waiting while another floods the pool.
 * @module
 */
import type { ClassDoc, TenantDoc } from '@wisteriaslip/config.documents'
import { Executors } from './executors.ts'
import { Allotments } from './policies/allotments.ts'
import { sizes } from './policies/policy.ts'
import { Random } from './random.ts'
import { quantile, round } from './statistics.ts'
import { VirtualLoop } from './virtual-loop.ts'

const RUN_MS = 40_000
const WARM_UP_MS = 5_000
const SERVICE_MS = 40
const DEADLINE_MS = 4_000
const CAPACITY_PER_MS = sizes.executors * sizes.slots / SERVICE_MS
const FLOOD_LOAD = 3

/** A steady stream of one class and tenant; its load is a share of the pool's capacity. */
interface Stream { readonly class: string, readonly tenant: string, readonly load: number }

/** What one stream had and kept. */
export interface Retention {
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

/** Each stream stays within its floor and, within its class, within its tenant's quota. */
const STREAMS: readonly Stream[] = [
  { class: 'urgent', tenant: 'steady', load: 0.1 },
  { class: 'urgent', tenant: 'other', load: 0.1 },
  { class: 'normal', tenant: 'steady', load: 0.12 },
  { class: 'normal', tenant: 'other', load: 0.12 },
  { class: 'background', tenant: 'steady', load: 0.1 }
]

/** Floods: from the least urgent class, from the most urgent, and from one tenant within a class. */
export const floods: Readonly<Record<string, Stream>> = {
  background: { class: 'background', tenant: 'flooder', load: FLOOD_LOAD },
  urgent: { class: 'urgent', tenant: 'flooder', load: FLOOD_LOAD },
  'tenant-in-normal': { class: 'normal', tenant: 'flooder', load: FLOOD_LOAD }
}

/**
 * Measures every stream without and with a flood that comes through two of the entries.
 * @param flood - name of a flood
 * @param seed - of the load
 * @returns what each stream keeps
 */
export async function benchFlood (flood: string, seed: number): Promise<Retention[]> {
  const calm = await run(undefined, seed)
  const flooded = await run(floods[flood], seed)
  return STREAMS.map(stream => {
    const name = nameOf(stream)
    const before = calm.get(name) ?? { completed: 0, waits: [] }
    const after = flooded.get(name) ?? { completed: 0, waits: [] }
    return {
      stream: name,
      keptThroughput: round(after.completed / before.completed, 3),
      waitP99Ms: { calm: round(quantile(before.waits, 0.99), 1), flooded: round(quantile(after.waits, 0.99), 1) }
    }
  })
}

interface Measured { completed: number, readonly waits: number[] }

async function run (flood: Stream | undefined, seed: number): Promise<Map<string, Measured>> {
  const loop = new VirtualLoop()
  const executors = new Executors(loop, { count: sizes.executors, slots: sizes.slots, oneWayMs: sizes.oneWayMs })
  const policy = new Allotments(loop, executors, { classes: CLASSES, tenants: TENANTS })
  const measured = new Map<string, Measured>()
  STREAMS.forEach((stream, index) => offer(loop, policy, stream, new Random(seed + index), measured, sizes.entries))
  if (flood !== undefined) offer(loop, policy, flood, new Random(seed + 99), measured, 2)
  await loop.run(RUN_MS)
  return measured
}

function offer (loop: VirtualLoop, policy: Allotments, stream: Stream, random: Random, measured: Map<string, Measured>, entries: number): void {
  const mine: Measured = { completed: 0, waits: [] }
  measured.set(nameOf(stream), mine)
  const arrive = (): void => {
    const at = loop.now()
    const counts = at >= WARM_UP_MS
    policy.submit({
      entry: random.below(entries),
      class: stream.class,
      tenant: stream.tenant,
      serviceMs: random.exponential(SERVICE_MS),
      deadlineMs: DEADLINE_MS,
      onStart: () => { if (counts) mine.waits.push(loop.now() - at) },
      onEnd: ran => { if (counts && ran) mine.completed += 1 }
    })
    loop.after(random.exponential(1 / (CAPACITY_PER_MS * stream.load)), arrive)
  }
  loop.after(2_000, arrive)
}

function nameOf (stream: Stream): string {
  return `${stream.class}/${stream.tenant}`
}
