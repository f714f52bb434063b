import { readFileSync } from 'node:fs'

interface Bound {
  readonly most?: number
  readonly least?: number
  /** Stated requirement that the bound comes from. */
  readonly target: string
}

const bounds = JSON.parse(readFileSync(new URL('../bounds.json', import.meta.url), 'utf8')) as Record<string, Bound>

/**
 * Prints a figure or a set of figures as a JSON line.
 * @param name - key under which the value is printed
 * @param value - any JSON value
 */
export function printFigure (name: string, value: unknown): void {
  process.stdout.write(`${JSON.stringify({ [name]: value })}\n`)
}

/**
 * Checks a figure against its bound in `bounds.json` and prints whether it is kept. A figure without a bound always passes.
 * @param name - key of the bound
 * @param value - measured figure, in the unit of the bound
 * @returns 1 if the bound is broken, otherwise 0
 */
export function checkBound (name: string, value: number): number {
  const bound = bounds[name]
  if (bound === undefined) return 0
  const isKept = value <= (bound.most ?? Number.POSITIVE_INFINITY) && value >= (bound.least ?? Number.NEGATIVE_INFINITY)
  printFigure(isKept ? 'kept' : 'BROKEN', { name, value, ...bound })
  return isKept ? 0 : 1
}
