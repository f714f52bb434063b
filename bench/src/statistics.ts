/**
 * @param values - in any order
 * @param quantile - between 0 and 1
 * @returns the value at the quantile, 0 for none
 */
export function quantile (values: readonly number[], quantile: number): number {
  if (values.length === 0) return 0
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))] ?? 0
}

/**
 * @param value - any number
 * @param digits - after the point
 * @returns the rounded number
 */
export function round (value: number, digits = 2): number {
  return Number(value.toFixed(digits))
}
