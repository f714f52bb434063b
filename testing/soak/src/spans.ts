/** A time in milliseconds of the run log. */
export interface Span { readonly from: number, readonly to: number }

/** Conditions are looked at this often. */
export const STEP_MS = 50

/**
 * @param span - where to look
 * @param holds - a condition
 * @returns the longest part of a span in which the condition holds, undefined if it never does
 */
export function longestPart (span: Span, holds: (at: number) => boolean): Span | undefined {
  return partsOf(span, holds).reduce<Span | undefined>((longest, part) => longest === undefined || part.to - part.from > longest.to - longest.from ? part : longest, undefined)
}

/** @returns all parts of a span in which a condition holds, each as long as it can be */
export function partsOf ({ from, to }: Span, holds: (at: number) => boolean): Span[] {
  const parts: Array<{ from: number, to: number }> = []
  let part: { from: number, to: number } | undefined
  for (let at = from; at <= to; at += STEP_MS) {
    const isIn = holds(at)
    if (isIn && part === undefined) parts.push(part = { from: at, to: at })
    else if (isIn && part !== undefined) part.to = at
    else part = undefined
  }
  return parts
}

/** @returns a time of the run log, for reading */
export function formatSeconds (ms: number): string {
  return `${(ms / 1_000).toFixed(3)} s`
}
