import { readFileSync } from 'node:fs'

interface Bound {
  readonly most?: number
  readonly least?: number
  /** The stated target that the bound comes from. */
  readonly target: string
}

const bounds = JSON.parse(readFileSync(new URL('../bounds.json', import.meta.url), 'utf8')) as Record<string, Bound>

/**
 * Prints a figure as a JSON line.
 * @param name - of the figure
 * @param value - to print
 */
export function print (name: string, value: unknown): void {
  process.stdout.write(`${JSON.stringify({ [name]: value })}\n`)
}

/**
 * Holds a figure against its bound, if it has one, and prints the verdict.
 * @param name - of the figure
 * @param value - as measured
 * @returns 1 if the bound is broken, else 0
 */
export function checkBound (name: string, value: number): number {
  const bound = bounds[name]
  if (bound === undefined) return 0
  const kept = value <= (bound.most ?? Number.POSITIVE_INFINITY) && value >= (bound.least ?? Number.NEGATIVE_INFINITY)
  print(kept ? 'kept' : 'BROKEN', { name, value, ...bound })
  return kept ? 0 : 1
}
