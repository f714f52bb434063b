import type { Resources } from '@wisteriaslip/jobs.model'

/** The resources that a quota limits, in a fixed order. */
export const dimensions = ['cpu', 'memMb', 'accelerators'] as const

/** No use of any resource. */
export const nothing: Resources = { cpu: 0, memMb: 0, accelerators: 0 }

/**
 * @param make - value for each resource
 * @returns the resources
 */
export function each (make: (dimension: keyof Resources) => number): Resources {
  return { cpu: make('cpu'), memMb: make('memMb'), accelerators: make('accelerators') }
}

/** @returns the sum */
export function plus (a: Resources, b: Resources): Resources {
  return { cpu: a.cpu + b.cpu, memMb: a.memMb + b.memMb, accelerators: a.accelerators + b.accelerators }
}

/** @returns what is left of `a` without `b`, at least 0 */
export function minus (a: Resources, b: Resources): Resources {
  return each(dimension => Math.max(0, a[dimension] - b[dimension]))
}

/** @returns the lower value for each resource */
export function least (a: Resources, b: Resources): Resources {
  return each(dimension => Math.min(a[dimension], b[dimension]))
}

/** @returns the higher value for each resource */
export function most (a: Resources, b: Resources): Resources {
  return each(dimension => Math.max(a[dimension], b[dimension]))
}

/** @returns whether `a` is above `b` in no resource */
export function isWithin (a: Resources, b: Resources): boolean {
  return a.cpu <= b.cpu && a.memMb <= b.memMb && a.accelerators <= b.accelerators
}

/** @returns whether both are the same */
export function isSame (a: Resources, b: Resources): boolean {
  return a.cpu === b.cpu && a.memMb === b.memMb && a.accelerators === b.accelerators
}

/**
 * @param demand - demand of one run
 * @param runs - number of runs
 * @returns demand of all
 */
export function times (demand: Resources, runs: number): Resources {
  return { cpu: demand.cpu * runs, memMb: demand.memMb * runs, accelerators: demand.accelerators * runs }
}

/**
 * @param quota - quota of an account, 0 for no limit
 * @returns the same with infinity for no limit; undefined if nothing is limited
 */
export function limitsOf (quota: Resources): Resources | undefined {
  if (quota.cpu <= 0 && quota.memMb <= 0 && quota.accelerators <= 0) return undefined
  return each(dimension => quota[dimension] > 0 ? quota[dimension] : Infinity)
}

/**
 * @param use - what is in use
 * @param demand - what would be added
 * @param room - what may be in use at most
 * @returns whether it fits; a resource that the demand doesn't name does not matter
 */
export function hasRoomFor (use: Resources, demand: Resources, room: Resources): boolean {
  return dimensions.every(dimension => demand[dimension] === 0 || use[dimension] + demand[dimension] <= room[dimension])
}
