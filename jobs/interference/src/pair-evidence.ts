import { weightedMedian } from './median.ts'

/** Observations after which an earlier amount hardly counts: amounts change within seconds. */
const MEMORY_OBSERVATIONS = 12
/** Workers whose observations are kept; others are ignored until one of these is silent for `REPLACE_AFTER_MS`. */
const MAX_WORKERS = 16
const REPLACE_AFTER_MS = 3_000
/** Evidence counts half as much after this time without a new observation, and nothing after `MAX_AGE_MS`. */
const HALF_LIFE_MS = 30_000
const MAX_AGE_MS = 60_000
/** Single workers differ by this much for reasons of their own, however often they report; as a natural logarithm. */
const WORKER_SPREAD = 0.1
/** Standard deviation of a median relative to that of the mean, and of a normal distribution relative to its mean absolute deviation. */
const MEDIAN_FACTOR = 1.25
const DEVIATION_FACTOR = 1.25
const MIN_WORKERS = 2
/** A worker counts once it has seen the pair this often with full activity. */
const MIN_WORKER_WEIGHT = 2

interface WorkerEvidence {
  sum: number
  weight: number
  at: number
}

/** What the evidence of a pair amounts to. */
export interface Estimate {
  /** By how much the one raises the figure of the other at full activity; as a natural logarithm. */
  readonly effect: number
  /** Standard error of the effect. */
  readonly error: number
  readonly workers: number
  /** Age of the latest observation in milliseconds. */
  readonly ageMs: number
}

/** Observations of one image beside another one, by worker: the median over workers decides, so that a single odd one doesn't. */
export class PairEvidence {
  private readonly byWorker = new Map<string, WorkerEvidence>()

  /**
   * @param worker - id of the worker
   * @param activity - activity of the neighbour, 0 to 1
   * @param excess - logarithm of the figure, less what everything else explains
   * @param now - time in milliseconds
   */
  add (worker: string, activity: number, excess: number, now: number): void {
    const evidence = this.byWorker.get(worker) ?? this.makeRoom(worker, now)
    if (evidence === undefined) return
    const keep = 1 - 1 / MEMORY_OBSERVATIONS
    evidence.sum = evidence.sum * keep + activity * excess
    evidence.weight = evidence.weight * keep + activity * activity
    evidence.at = now
  }

  /** @returns ids of the workers with evidence */
  workers (): Iterable<string> {
    return this.byWorker.keys()
  }

  /**
   * @param now - time in milliseconds
   * @returns whether any evidence is left
   */
  forgetOld (now: number): boolean {
    for (const [worker, { at }] of this.byWorker) if (now - at > MAX_AGE_MS) this.byWorker.delete(worker)
    return this.byWorker.size > 0
  }

  /**
   * @param now - time in milliseconds
   * @param opts - `noise`: mean absolute deviation of a single figure; `without`: number of figures without the neighbour that it is
   * compared with; `leaveOut`: whether a worker is to be left out
   * @returns the estimate, undefined if too few workers have seen the pair
   */
  estimate (now: number, opts: { noise: number, without: number, leaveOut: (worker: string) => boolean }): Estimate | undefined {
    const used = [...this.byWorker].filter(([worker, { weight }]) => weight >= MIN_WORKER_WEIGHT && !opts.leaveOut(worker)).map(([, evidence]) => evidence)
    if (used.length < MIN_WORKERS) return undefined
    const effects = used.map(({ sum, weight }) => ({ value: sum / weight, weight }))
    const effect = weightedMedian(effects)
    const weight = used.reduce((sum, evidence) => sum + evidence.weight * 0.5 ** ((now - evidence.at) / HALF_LIFE_MS), 0)
    const deviation = DEVIATION_FACTOR * weightedMedian(effects.map(each => ({ value: Math.abs(each.value - effect), weight: each.weight })))
    const single = DEVIATION_FACTOR * opts.noise
    const errorBeside = MEDIAN_FACTOR * Math.max(single / Math.sqrt(weight), Math.max(deviation, WORKER_SPREAD) / Math.sqrt(used.length))
    const error = Math.hypot(errorBeside, single / Math.sqrt(Math.max(1, opts.without)))
    return { effect, error, workers: used.length, ageMs: now - Math.max(...used.map(({ at }) => at)) }
  }

  private makeRoom (worker: string, now: number): WorkerEvidence | undefined {
    if (this.byWorker.size >= MAX_WORKERS) {
      const silent = [...this.byWorker].find(([, { at }]) => now - at > REPLACE_AFTER_MS)
      if (silent === undefined) return undefined
      this.byWorker.delete(silent[0])
    }
    const evidence: WorkerEvidence = { sum: 0, weight: 0, at: now }
    this.byWorker.set(worker, evidence)
    return evidence
  }
}
