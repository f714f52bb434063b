/**
 * Computes a quantile without interpolation.
 * @param values - samples in any order
 * @param fraction - quantile to compute, between 0 and 1
 * @returns the sample at the quantile, 0 when there are no samples
 */
export function quantile (values: readonly number[], fraction: number): number {
  if (values.length === 0) return 0
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))] ?? 0
}

/**
 * Rounds a figure for output.
 * @param value - number to round
 * @param digits - number of decimals
 * @returns the rounded number
 */
export function round (value: number, digits = 2): number {
  return Number(value.toFixed(digits))
}
