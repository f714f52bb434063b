/** Jobs that this leader learns of out of order are judged in the order of their acceptance if they are at most this late. */
const KEPT_ARRIVALS_MS = 2_000
/** Bound of the arrivals that are kept of one account. */
const MAX_KEPT_ARRIVALS = 4_000
/** A weight of 0 or less counts as this: an account always has some share. */
const LEAST_WEIGHT = 0.001
const MS_PER_SECOND = 1_000
/** Rounding errors of repeated refills don't cost an account a job. */
const ROUNDING = 1e-9

/** A job that its account has submitted. */
export interface Arrival {
  /** Unix milliseconds of its acceptance. */
  readonly at: number
  readonly id: string
  /** Gets whether the job lies beyond the account's weight; may be called again if an earlier job becomes known. */
  readonly judge: (isBeyond: boolean) => void
}

interface Bucket {
  readonly tokens: number
  readonly at: number
}

/**
 * Tells which jobs an account submits beyond its weight in jobs a second: a token bucket that holds what a second brings, and
 * at least one job. Depends on nothing but the times of acceptance, so that each leader comes to the same result.
 */
export class WeightMeter {
  /** The latest arrivals in order, each with the bucket as it was before. */
  private recent: Array<{ readonly arrival: Arrival, before: Bucket }> = []
  private bucket: Bucket | undefined

  /**
   * @param arrivals - jobs that became known
   * @param weight - the account's weight, in jobs a second
   */
  add (arrivals: readonly Arrival[], weight: number): void {
    const rate = Math.max(LEAST_WEIGHT, weight)
    this.bucket ??= { tokens: capacityOf(rate), at: Number.NEGATIVE_INFINITY }
    for (const arrival of [...arrivals].sort(compareArrivals)) this.addOne(arrival, rate)
    this.forgetOld()
  }

  private addOne (arrival: Arrival, rate: number): void {
    let position = this.recent.length
    while (position > 0 && compareArrivals((this.recent[position - 1] as { arrival: Arrival }).arrival, arrival) > 0) position -= 1
    const later = this.recent.splice(position)
    this.bucket = later[0]?.before ?? this.bucket
    for (const each of [arrival, ...later.map(({ arrival }) => arrival)]) this.take(each, rate)
  }

  private take (arrival: Arrival, rate: number): void {
    const before = this.bucket ?? { tokens: capacityOf(rate), at: arrival.at }
    const elapsedMs = Math.max(0, arrival.at - before.at)
    const tokens = Math.min(capacityOf(rate), before.tokens + elapsedMs / MS_PER_SECOND * rate)
    const isBeyond = tokens < 1 - ROUNDING
    this.recent.push({ arrival, before })
    this.bucket = { tokens: isBeyond ? tokens : tokens - 1, at: Math.max(before.at, arrival.at) }
    arrival.judge(isBeyond)
  }

  private forgetOld (): void {
    const newest = this.recent.at(-1)?.arrival.at ?? 0
    const kept = this.recent.findIndex(({ arrival }) => newest - arrival.at <= KEPT_ARRIVALS_MS)
    this.recent.splice(0, Math.max(kept, this.recent.length - MAX_KEPT_ARRIVALS))
  }
}

function capacityOf (rate: number): number {
  return Math.max(1, rate)
}

function compareArrivals (a: Arrival, b: Arrival): number {
  return a.at - b.at || (a.id < b.id ? -1 : a.id > b.id ? 1 : 0)
}
