/** A number that counts as much as its weight. */
export interface Weighted {
  readonly value: number
  readonly weight: number
}

/**
 * @param values - at least one number; weights are positive
 * @returns their weighted median
 */
export function weightedMedian (values: readonly Weighted[]): number {
  const sorted = [...values].sort((a, b) => a.value - b.value)
  let left = sorted.reduce((sum, { weight }) => sum + weight, 0) / 2
  for (const { value, weight } of sorted) {
    left -= weight
    if (left <= 0) return value
  }
  return (sorted.at(-1) as Weighted).value
}
