/** A time in milliseconds of the run log. */
export interface Span { readonly from: number, readonly to: number }

/** Conditions are looked at this often. */
export const STEP_MS = 50

/**
 * @param span - where to look
 * @param holds - a condition
 * @returns the longest part of a span in which the condition holds, undefined if it never does
 */
export function longestPart ({ from, to }: Span, holds: (at: number) => boolean): Span | undefined {
  let longest: Span | undefined
  let since: number | undefined
  for (let at = from; at <= to; at += STEP_MS) {
    since = holds(at) ? since ?? at : undefined
    if (since !== undefined && (longest === undefined || at - since > longest.to - longest.from)) longest = { from: since, to: at }
  }
  return longest
}

/** @returns a time of the run log, for reading */
export function formatSeconds (ms: number): string {
  return `${(ms / 1_000).toFixed(3)} s`
}
