import type { Resources } from '@wisteriaslip/jobs.model'
import { shareFairly } from './fair-parts.ts'
import { each, hasRoomFor, isSame, isWithin, least, minus, most, nothing, plus } from './resources.ts'

/** What a service would use beyond its part, or has got and not yet used while others lack it, too. */
export interface Wants {
  /** All that it would use now, with what is in use. */
  readonly total: Resources
  /** Its largest task, or gang, that waits and has room: less than that more may be of no use to it. */
  readonly atOnce: Resources
  /** Whoever has the lower number is served first. */
  readonly turn: number
}

/** A service's part of an account's quota. */
export interface Part {
  /** What the service may have in use. Nothing else counts for the others. */
  readonly given: Resources
  readonly wants?: Wants | undefined
}

/** The record of one account: what each service may have in use of its quota. */
export interface QuotaRecord {
  /** The quota as the last writer knew it, for as long as the configuration lacks the account. */
  readonly quota: Resources
  readonly parts: Readonly<Record<string, Part>>
}

/** What a service has in use of an account's quota, and what it would use. */
export interface Need {
  /** All that may be in progress. */
  readonly inUse: Resources
  /** What would be in use if all that waits and has room ran; not less than `inUse`. */
  readonly total: Resources
  /** The same for all that waits, whether it has room or not: room may come soon. */
  readonly totalWithoutRoom: Resources
  /** Largest task or gang that waits and has room; nothing if none does. */
  readonly atOnce: Resources
  /** Smallest task or gang that waits and has room: a part that is raised by less is of no use. */
  readonly smallest: Resources
  /** Nothing has been in use or has waited for long. */
  readonly idle: boolean
  /** A task was started since the part was last written, or none was for long although the part was enough. */
  readonly progressed: boolean
}

/** A part is raised by this share of the quota more than is needed, if nobody lacks it: so that it is raised seldom. */
const HEADROOM = 1 / 8
/** A part is lowered by at least this share of the quota. */
const MIN_LOWERING = 1 / 32
/** Demand is noted in steps of this share of the quota: so that it is noted seldom. */
const STEP = 1 / 16

/**
 * @param record - an account's record
 * @param service - a service
 * @returns what all other services may have in use
 */
export function givenToOthers (record: QuotaRecord | undefined, service: string): Resources {
  let sum = nothing
  for (const [name, part] of Object.entries(record?.parts ?? {})) if (name !== service) sum = plus(sum, part.given)
  return sum
}

/**
 * While all parts together are above the quota, as a version has lowered it, a service uses only what the others certainly leave.
 * @param record - an account's record
 * @param service - a service
 * @param limits - the account's quota, infinity for no limit
 * @returns what the service may have in use when it starts more
 */
export function usablePart (record: QuotaRecord | undefined, service: string, limits: Resources): Resources {
  const given = record?.parts[service]?.given ?? nothing
  const left = minus(limits, givenToOthers(record, service))
  return each(dimension => limits[dimension] === Infinity ? Infinity : Math.min(given[dimension], left[dimension]))
}

/** What a service should do about its part. */
export interface PartPlan {
  /** The new part, with nothing given if it can be removed; undefined if it should stay as it is. */
  readonly part: Part | undefined
  /** What it leaves to others from now on, although it may have more in use until that ends: it starts nothing beyond this. */
  readonly target: Resources
}

/**
 * Decides on the part that a service should have next. A part is raised only into what all others leave of the quota, and
 * never goes below what is in use. What nobody lacks stays where it is. If all parts are above the quota, each is lowered to its share.
 * @param record - the account's record, undefined if there is none
 * @param service - the service
 * @param opts - `limits`: the account's quota, infinity for no limit; `need`: use and demand here
 * @returns the new part, and the one that the service aims at
 */
export function planPart (record: QuotaRecord | undefined, service: string, opts: { limits: Resources, need: Need }): PartPlan {
  const { limits, need } = opts
  const limited = (resources: Resources): Resources => each(dimension => limits[dimension] === Infinity ? 0 : resources[dimension])
  const part = record?.parts[service]
  const before = part?.given ?? nothing
  const inUse = limited(need.inUse)
  const total = limited(most(inUse, least(need.total, limits)))
  const free = limited(minus(limits, givenToOthers(record, service)))
  const isOver = !isWithin(before, free)
  const isLacking = isOver || Object.entries(record?.parts ?? {}).some(([name, other]) => name !== service && other.wants !== undefined)
  const target = isLacking ? contendedPart() : calmPart()
  const given = worthALowering(most(inUse, target))
  // What has come in turn is kept until it is used: others would take it again.
  const keepsClaim = isLacking && part?.wants !== undefined && !isSame(need.atOnce, nothing)
  const wants = isWithin(total, given) && !keepsClaim ? undefined : notedWants(record, service, { total, atOnce: limited(need.atOnce), limits, progressed: need.progressed })
  const isUnchanged = isSame(given, before) && isSameWants(wants, part?.wants)
  return { part: isUnchanged ? undefined : { given, ...(wants === undefined ? {} : { wants }) }, target }

  function calmPart (): Resources {
    if (need.idle) return nothing
    const later = limited(least(need.totalWithoutRoom, limits))
    if (isWithin(most(total, later), before)) return before
    return least(free, most(before, plus(most(total, later), limited(each(dimension => Math.floor(limits[dimension] * HEADROOM))))))
  }

  /** Runs end one by one: a part is lowered in steps, but as a whole when nothing is left of it. */
  function worthALowering (lower: Resources): Resources {
    const isSmall = isWithin(lower, before) && isWithin(minus(before, lower), limited(each(dimension => limits[dimension] * MIN_LOWERING)))
    return isSmall && !isSame(lower, nothing) ? before : lower
  }

  function contendedPart (): Resources {
    const wanted = { total, atOnce: limited(need.atOnce), turn: part?.wants?.turn ?? Infinity }
    const share = least(total, shareFairly(record, service, { limits, wanted }))
    const raised = each(dimension => share[dimension] <= before[dimension] ? share[dimension] : Math.max(before[dimension], Math.min(share[dimension], free[dimension])))
    return hasRoomFor(inUse, limited(need.smallest), raised) ? raised : least(raised, inUse)
  }
}

/** Notes demand in steps, and keeps its turn until a task has started and others wait. */
function notedWants (record: QuotaRecord | undefined, service: string, opts: { total: Resources, atOnce: Resources, limits: Resources, progressed: boolean }): Wants {
  const inSteps = (resources: Resources): Resources => each(dimension => {
    const step = opts.limits[dimension] * STEP
    return Number.isFinite(step) ? Math.floor(Math.min(opts.limits[dimension], Math.ceil(resources[dimension] / step) * step)) : 0
  })
  const noted = record?.parts[service]?.wants
  const own = noted?.turn
  const others = Object.entries(record?.parts ?? {}).flatMap(([name, part]) => name === service || part.wants === undefined ? [] : [part.wants.turn])
  const last = Math.max(0, ...others)
  const keepsTurn = own !== undefined && (!opts.progressed || own > last)
  const isNoted = noted !== undefined && isWithin(opts.atOnce, noted.atOnce) && isWithin(noted.atOnce, plus(opts.atOnce, opts.atOnce))
  return { total: inSteps(opts.total), atOnce: isNoted ? noted.atOnce : opts.atOnce, turn: keepsTurn ? own : last + 1 }
}

function isSameWants (a: Wants | undefined, b: Wants | undefined): boolean {
  if (a === undefined || b === undefined) return a === b
  return a.turn === b.turn && isSame(a.total, b.total) && isSame(a.atOnce, b.atOnce)
}

/**
 * @param record - the account's record, undefined if there is none
 * @param service - the service
 * @param opts - its new part, and the account's quota
 * @returns the new record
 */
export function withPart (record: QuotaRecord | undefined, service: string, { part, quota }: { part: Part, quota: Resources }): QuotaRecord {
  const { [service]: _, ...others } = record?.parts ?? {}
  const isEmpty = isSame(part.given, nothing) && part.wants === undefined
  return { quota, parts: isEmpty ? others : { ...others, [service]: part } }
}
