import { Average } from './average.ts'
import { OwnLoad } from './own-load.ts'
import { PairEvidence, type Estimate } from './pair-evidence.ts'
import { SlowWorkers } from './slow-workers.ts'

/** A figure describes half a second: a report that follows sooner says little that is new. */
const MIN_REPORT_GAP_MS = 300
/** No report comes later than another one of its worker by more than this. */
const MAX_LATENESS_MS = 10_000
const EVALUATION_INTERVAL_MS = 500
/** Less activity shows nothing. */
const MIN_ACTIVITY = 0.1
/** A single figure counts no more than this, as a natural logarithm. */
const MAX_EXCESS = 1.5
/** Effects, as natural logarithms, from which on a pair is found (a rise by 28%) and below which it is dropped (by 10%). */
const FOUND_ABOVE = 0.25
const DROPPED_BELOW = 0.1
/** Effects in standard errors. Hundreds of pairs are tested at once, so that the bound for finding one is far above what chance reaches. */
const FOUND_ABOVE_ERRORS = 4.5
const DROPPED_BELOW_ERRORS = 1.5
const LIKELY_ABOVE_ERRORS = 2
/** Workers on which a pair must have been seen to be found. */
const MIN_WORKERS = 5
/** After a pair was found, others of the disturbed image wait until their evidence has been gathered without its effect. */
const SETTLE_MS = 6_000
/** A pair is found when its evidence has been convincing for this long: another neighbour may soon explain it better. */
const CONVINCING_FOR_MS = 4_000
const MAX_PAIRS = 1_024
const NOISE_MEMORY = 200
/** What is known of the figures of an image is forgotten after this time without any. */
const MAX_SILENCE_MS = 60_000
const INITIAL_NOISE = 0.4
/** Rise of all figures of a worker, as a natural logarithm, from which on it may be slow as a whole. */
const RAISED_ABOVE = 0.25

/** A run as a report shows it. */
export interface ObservedRun {
  /** Key of the run. */
  readonly key: string
  readonly image: string
  /** Name of the tasks that share one load with it. */
  readonly group: string
  /** Tail latency in milliseconds of a serving task, 0 for none. */
  readonly tailMs: number
  /** How much it works, and may disturb: 0 to 1. */
  readonly activity: number
}

/** A pair of images of which one slows the other down. */
export interface KnownPair {
  readonly image: string
  /** The image whose tasks are slowed down. */
  readonly on: string
  /** By how much it raises the tail latency at full activity: 0.5 is by half. */
  readonly rise: number
  /** Share of the effect that is beyond two standard errors, 0 to 1. */
  readonly confidence: number
  /** Workers on which it was seen. */
  readonly workers: number
  /** Age of the latest observation in milliseconds. */
  readonly ageMs: number
}

/** A pair that was found, or is no longer taken for one. */
export interface PairChange extends KnownPair {
  readonly change: 'found' | 'dropped'
}

/** What is left of the figure of a run, as a natural logarithm, beside its own load. */
interface Rest {
  readonly image: string
  /** Less what its neighbours are likely to explain. */
  readonly rest: number
  /** Less what pairs that are found explain: what is only likely may be the slowness of the worker. */
  readonly raisedBy: number
}

interface Pair {
  readonly image: string
  readonly on: string
  readonly evidence: PairEvidence
  /** What is left of the figures of the one image without the other: most of its tasks may be disturbed, so that their median is, too. */
  readonly without: Average
  estimate: Estimate | undefined
  /** Since when its estimate would do for it to be found; undefined while it would not. */
  convincingSince: number | undefined
  found: boolean
}

interface DisturbedImage {
  /** What is left of its figures in the mean. */
  readonly calm: Average
  /** Mean absolute deviation of its figures from what is known. */
  noise: number
  /** When a pair with it was last found. */
  foundAt: number
  heardAt: number
}

/**
 * Learns from the reports of workers which images slow down the serving tasks of which others. Deterministic, without I/O; bounded
 * in memory whatever callers submit.
 */
export class InterferenceModel {
  private readonly ownLoad = new OwnLoad()
  private readonly slowWorkers = new SlowWorkers()
  /** Pairs by the disturbed image and the disturbing one. */
  private readonly pairs = new Map<string, Map<string, Pair>>()
  private readonly disturbed = new Map<string, DisturbedImage>()
  private readonly observedAt = new Map<string, number>()
  private pairCount = 0
  private foundCount = 0
  /** Images of known pairs, on either side. */
  private foundImages: ReadonlySet<string> = new Set()
  private evaluatedAt = Number.NEGATIVE_INFINITY
  private changes: PairChange[] = []

  /**
   * Learns from a report. Ignores one that is older than the latest of its worker, or follows it too soon.
   * @param worker - id of the worker
   * @param runs - runs with an image that the report shows
   * @param now - time of the report in milliseconds
   * @param opts - `slow`: the worker is known to be slow, so that nothing is learned from it
   */
  observe (worker: string, runs: readonly ObservedRun[], now: number, opts: { slow?: boolean } = {}): void {
    if (!runs.some(({ tailMs }) => tailMs > 0)) return this.evaluateIfDue(now)
    if (now - (this.observedAt.get(worker) ?? Number.NEGATIVE_INFINITY) < MIN_REPORT_GAP_MS) return
    this.observedAt.set(worker, now)
    const activities = activityByImage(runs)
    const rests: Rest[] = []
    for (const run of runs) {
      if (run.tailMs <= 0 || run.image === '') continue
      const figure = Math.log(run.tailMs)
      if (opts.slow !== true) this.ownLoad.record(run.group, run.key, figure, now)
      const level = this.ownLoad.levelOf(run.group, now)
      if (level === undefined) continue
      const excess = clamp(figure - level)
      rests.push({ image: run.image, rest: excess - this.explainedBy(run.image, activities), raisedBy: excess - this.explainedBy(run.image, activities, { foundOnly: true }) })
    }
    this.judgeWorker(worker, rests, activities, now)
    if (opts.slow !== true) for (const { image, rest } of rests) this.learn(worker, image, rest, activities, now)
    this.evaluateIfDue(now)
  }

  /**
   * @param image - image of tasks that may disturb
   * @param on - image of serving tasks
   * @returns what is known, undefined if the one is not known to slow down the other
   */
  effectOf (image: string, on: string): KnownPair | undefined {
    const pair = this.foundCount === 0 ? undefined : this.pairs.get(on)?.get(image)
    return pair?.found === true ? describe(pair) : undefined
  }

  /** @returns the pairs that are known to slow down, the strongest first */
  known (): KnownPair[] {
    return this.allPairs().filter(({ found }) => found).map(describe).sort((a, b) => b.rise - a.rise)
  }

  /**
   * @param image - an image
   * @returns whether it is one of a known pair
   */
  concerns (image: string): boolean {
    return this.foundImages.has(image)
  }

  /** @returns whether any pair is known */
  knowsAny (): boolean {
    return this.foundCount > 0
  }

  /** @returns the pairs that were found or dropped since the previous call */
  takeChanges (): PairChange[] {
    const { changes } = this
    this.changes = []
    return changes
  }

  private allPairs (): Pair[] {
    return [...this.pairs.values()].flatMap(pairs => [...pairs.values()])
  }

  /** Returns what the neighbours of an image explain of its figure: those that are found, or all whose effect is likely. */
  private explainedBy (image: string, activities: ReadonlyMap<string, number>, { foundOnly = false } = {}): number {
    let effect = 0
    for (const pair of this.pairs.get(image)?.values() ?? []) if (pair.found || !foundOnly) effect += effectOf(pair) * (activities.get(pair.image) ?? 0)
    return effect
  }

  /** Several images don't rise together by chance again and again, nor does one that has no company. */
  private judgeWorker (worker: string, rests: readonly Rest[], activities: ReadonlyMap<string, number>, now: number): void {
    if (rests.length === 0) return
    const images = new Set(rests.map(({ image }) => image))
    if (images.size < 2 && activities.size > 1) return
    this.slowWorkers.record(worker, rests.every(({ image, raisedBy }) => raisedBy - (this.disturbed.get(image)?.calm.value ?? 0) > RAISED_ABOVE), now)
  }

  private learn (worker: string, on: string, rest: number, activities: ReadonlyMap<string, number>, now: number): void {
    const state = this.disturbed.get(on) ?? { calm: new Average(), noise: INITIAL_NOISE, foundAt: Number.NEGATIVE_INFINITY, heardAt: now }
    this.disturbed.set(on, state)
    state.heardAt = now
    state.calm.add(rest)
    state.noise += (Math.abs(rest - state.calm.value) - state.noise) / NOISE_MEMORY
    for (const [image, activity] of activities) {
      if (image === on || activity < MIN_ACTIVITY) continue
      const pair = this.pairs.get(on)?.get(image) ?? this.addPair(image, on)
      pair?.evidence.add(worker, activity, rest + effectOf(pair) * activity - pair.without.value, now)
    }
    for (const pair of this.pairs.get(on)?.values() ?? []) if ((activities.get(pair.image) ?? 0) < MIN_ACTIVITY) pair.without.add(rest)
  }

  private addPair (image: string, on: string): Pair | undefined {
    if (this.pairCount >= MAX_PAIRS) return undefined
    const pair: Pair = { image, on, evidence: new PairEvidence(), without: new Average(), estimate: undefined, convincingSince: undefined, found: false }
    const pairs = this.pairs.get(on) ?? new Map<string, Pair>()
    this.pairs.set(on, pairs.set(image, pair))
    this.pairCount += 1
    return pair
  }

  private evaluateIfDue (now: number): void {
    if (now - this.evaluatedAt < EVALUATION_INTERVAL_MS) return
    this.evaluatedAt = now
    this.forgetOld(now)
    const leftOut = this.suspectsByImage()
    for (const [on, pairs] of this.pairs) {
      const noise = this.disturbed.get(on)?.noise ?? INITIAL_NOISE
      for (const pair of pairs.values()) {
        const estimate = pair.evidence.estimate(now, { noise, without: pair.without.count, leaveOut: worker => leftOut.get(pair.image)?.has(worker) === true })
        if (pair.found && (estimate === undefined || shouldDrop(estimate))) this.change(pair, 'dropped')
        pair.estimate = estimate
        pair.convincingSince = estimate !== undefined && isConvincing(estimate) ? pair.convincingSince ?? now : undefined
      }
      this.findStrongest(on, [...pairs.values()], now)
    }
  }

  /** One at a time: a neighbour that often shares a worker with the one that disturbs would be found with it. */
  private findStrongest (on: string, pairs: readonly Pair[], now: number): void {
    const state = this.disturbed.get(on)
    if (state === undefined || now - state.foundAt < SETTLE_MS) return
    let strongest: Pair | undefined
    for (const pair of pairs) {
      if (pair.found || pair.estimate === undefined || now - (pair.convincingSince ?? now) < CONVINCING_FOR_MS) continue
      if (strongest === undefined || errorsOf(pair.estimate) > errorsOf(strongest.estimate as Estimate)) strongest = pair
    }
    if (strongest === undefined) return
    state.foundAt = now
    this.change(strongest, 'found')
  }

  private change (pair: Pair, change: PairChange['change']): void {
    this.foundCount += change === 'found' ? 1 : -1
    this.changes.push({ ...describe(pair), change })
    pair.found = change === 'found'
    this.foundImages = new Set(this.allPairs().flatMap(({ found, image, on }) => found ? [image, on] : []))
  }

  /**
   * Returns the slow workers beside each disturbing image. Where most workers that have it seem slow, it is the image that slows
   * all others down, and none is left out.
   */
  private suspectsByImage (): Map<string, ReadonlySet<string>> {
    const workersByImage = new Map<string, Set<string>>()
    for (const { image, evidence } of this.allPairs()) {
      const workers = workersByImage.get(image) ?? new Set()
      for (const worker of evidence.workers()) workers.add(worker)
      workersByImage.set(image, workers)
    }
    const suspects = new Map<string, ReadonlySet<string>>()
    for (const [image, workers] of workersByImage) {
      const slow = new Set([...workers].filter(worker => this.slowWorkers.isSuspect(worker)))
      if (slow.size * 2 <= workers.size) suspects.set(image, slow)
    }
    return suspects
  }

  private forgetOld (now: number): void {
    this.ownLoad.forgetOld(now)
    this.slowWorkers.forgetOld(now)
    for (const [worker, at] of this.observedAt) if (now - at > MAX_LATENESS_MS) this.observedAt.delete(worker)
    for (const [on, pairs] of this.pairs) {
      for (const pair of pairs.values()) {
        if (pair.evidence.forgetOld(now)) continue
        if (pair.found) this.change(pair, 'dropped')
        pairs.delete(pair.image)
        this.pairCount -= 1
      }
      if (pairs.size === 0) this.pairs.delete(on)
    }
    for (const [on, { heardAt }] of this.disturbed) if (now - heardAt > MAX_SILENCE_MS) this.disturbed.delete(on)
  }
}

/** Sums up the activity of each image, as one more run of it adds little to what the others already do. */
function activityByImage (runs: readonly ObservedRun[]): Map<string, number> {
  const activities = new Map<string, number>()
  for (const { image, activity } of runs) {
    if (image !== '') activities.set(image, Math.min(1, (activities.get(image) ?? 0) + activity))
  }
  return activities
}

/** Returns the effect of a pair as far as it is likely: where two neighbours share workers, one explains what the other seems to do. */
function effectOf ({ estimate }: Pair): number {
  return estimate === undefined || errorsOf(estimate) < LIKELY_ABOVE_ERRORS ? 0 : estimate.effect
}

function errorsOf ({ effect, error }: Estimate): number {
  return effect / error
}

function isConvincing (estimate: Estimate): boolean {
  return estimate.workers >= MIN_WORKERS && estimate.effect > FOUND_ABOVE && errorsOf(estimate) > FOUND_ABOVE_ERRORS
}

function shouldDrop (estimate: Estimate): boolean {
  return estimate.effect < DROPPED_BELOW || errorsOf(estimate) < DROPPED_BELOW_ERRORS
}

function clamp (excess: number): number {
  return Math.max(-MAX_EXCESS, Math.min(MAX_EXCESS, excess))
}

function describe ({ image, on, estimate }: Pair): KnownPair {
  const effect = Math.max(0, estimate?.effect ?? 0)
  const confidence = estimate === undefined || effect === 0 ? 0 : Math.max(0, 1 - 2 * estimate.error / effect)
  return { image, on, rise: Math.exp(effect) - 1, confidence, workers: estimate?.workers ?? 0, ageMs: estimate?.ageMs ?? 0 }
}
