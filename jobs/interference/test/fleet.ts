import { InterferenceModel, type PairChange } from '@wisteriaslip/jobs.interference'

/** One image that slows another one down. */
export interface Disturbance {
  readonly image: string
  readonly on: string
  /** Rise of the tail latency at full activity. */
  readonly rise: number
}

export interface FleetOpts {
  readonly seed?: number
  readonly workers?: number
  readonly disturbances?: readonly Disturbance[]
  /** Standard deviation of the logarithm of a single figure. */
  readonly noise?: number
  /** Factor by which all figures of a worker are raised. */
  readonly slow?: Readonly<Record<string, number>>
  /** Share of the reports that are missing, and of those that arrive after the next one. */
  readonly missing?: number
  readonly late?: number
}

export const REPORT_EVERY_MS = 500
/** How long tasks that fill stay on a worker, in the mean. */
const NEIGHBOURS_CHANGE_AFTER_MS = 10_000
export const SERVING_IMAGES = Array.from({ length: 8 }, (_, number) => `serving-${number}`)
export const FILLING_IMAGES = Array.from({ length: 12 }, (_, number) => `filling-${number}`)

interface Neighbour { readonly image: string, readonly activity: number }

/**
 * Workers with two serving tasks each, of different images, and up to three that fill beside them. The load of each serving image
 * rises and falls, so that its figures double within seconds; how much the others work changes, too.
 */
export class SyntheticFleet {
  readonly model = new InterferenceModel()
  now = 0
  disturbances: readonly Disturbance[]
  private readonly opts: FleetOpts
  private readonly random: () => number
  private readonly workers: Array<{ readonly id: string, readonly serving: readonly string[], filling: readonly string[] }> = []

  constructor (opts: FleetOpts = {}) {
    this.opts = opts
    this.random = randomFrom(opts.seed ?? 1)
    this.disturbances = opts.disturbances ?? []
    for (let number = 0; number < (opts.workers ?? 120); number++) {
      const serving = this.draw(SERVING_IMAGES, 2)
      this.workers.push({ id: `w${number}`, serving, filling: this.drawFilling() })
    }
  }

  /** Lets all workers report this often, and returns what the model has found and dropped meanwhile. */
  report (times: number): PairChange[] {
    const changes: PairChange[] = []
    for (let round = 0; round < times; round++) {
      this.now += REPORT_EVERY_MS
      for (const worker of this.workers) {
        if (this.random() < REPORT_EVERY_MS / NEIGHBOURS_CHANGE_AFTER_MS) worker.filling = this.drawFilling()
        this.reportOf(worker)
      }
      changes.push(...this.model.takeChanges())
    }
    return changes
  }

  /** Returns the known pairs as `disturbing on disturbed`, sorted. */
  known (): string[] {
    return this.model.known().map(({ image, on }) => `${image} on ${on}`).sort()
  }

  private reportOf (worker: { readonly id: string, readonly serving: readonly string[], readonly filling: readonly string[] }): void {
    const filling = worker.filling.map(image => ({ image, activity: 0.5 + this.random() / 2 }))
    const runs = worker.serving.map(image => ({ key: `${image}@${worker.id}`, image, group: `${image}.0.0`, tailMs: this.tailMs(worker.id, image, filling), activity: 1 }))
    const others = filling.map(({ image, activity }) => ({ key: `${image}@${worker.id}`, image, group: `${image}.0.0`, tailMs: 0, activity: Math.max(0, activity + 0.1 * this.normal()) }))
    if (this.random() < (this.opts.missing ?? 0)) return
    const at = this.now - (this.random() < (this.opts.late ?? 0) ? 2 * REPORT_EVERY_MS : 0) + Math.floor(this.random() * 50)
    this.model.observe(worker.id, [...runs, ...others], at)
  }

  private tailMs (worker: string, image: string, neighbours: readonly Neighbour[]): number {
    const load = 1.5 + Math.sin(this.now / 4_000 + SERVING_IMAGES.indexOf(image))
    let tailMs = 40 * load * (this.opts.slow?.[worker] ?? 1)
    for (const { image: disturbing, on, rise } of this.disturbances) {
      if (on === image) tailMs *= (1 + rise) ** (neighbours.find(each => each.image === disturbing)?.activity ?? 0)
    }
    return Math.max(1, Math.round(tailMs * Math.exp((this.opts.noise ?? 0.25) * this.normal())))
  }

  private drawFilling (): readonly string[] {
    return this.draw(FILLING_IMAGES, Math.floor(this.random() * 4))
  }

  private draw (images: readonly string[], count: number): string[] {
    const left = [...images]
    return Array.from({ length: count }, () => left.splice(Math.floor(this.random() * left.length), 1)[0] as string)
  }

  private normal (): number {
    return Math.sqrt(-2 * Math.log(1 - this.random())) * Math.cos(2 * Math.PI * this.random())
  }
}

/** Numbers from 0 to 1 that repeat with the seed (mulberry32). */
function randomFrom (seed: number): () => number {
  let state = seed
  return () => {
    state = (state + 0x6d2b79f5) | 0
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state)
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296
  }
}
