/** A set of numbers as the first and last number of each run of consecutive ones. */
export type Ranges = readonly number[]

/**
 * @param numbers - distinct whole numbers
 * @returns their ranges, in ascending order
 */
export function toRanges (numbers: Iterable<number>): Ranges {
  const ranges: number[] = []
  for (const number of [...numbers].sort((a, b) => a - b)) {
    if (ranges.at(-1) === number - 1) ranges[ranges.length - 1] = number
    else ranges.push(number, number)
  }
  return ranges
}

/**
 * @param ranges - ranges
 * @param limit - upper limit of the numbers to return, exclusive
 * @returns the numbers in them
 */
export function * numbersIn (ranges: Ranges, limit: number): Generator<number> {
  for (let at = 0; at + 1 < ranges.length; at += 2) {
    const last = Math.min(ranges[at + 1] ?? 0, limit - 1)
    for (let number = ranges[at] ?? 0; number <= last; number++) yield number
  }
}
