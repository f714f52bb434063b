import { setTimeout as sleep } from 'node:timers/promises'

/**
 * Waits, or returns early when the signal aborts.
 * @param ms - milliseconds to wait
 * @param signal - ends the wait
 * @returns false when aborted
 */
export async function delay (ms: number, signal: AbortSignal): Promise<boolean> {
  try {
    await sleep(ms, undefined, { signal })
    return true
  } catch {
    return false
  }
}

/**
 * Runs a step again and again until the signal aborts. A step that throws is reported and the loop goes on.
 * @param step - what to do each time
 * @param opts - period in milliseconds, the ending signal, and where errors go
 */
export async function runEvery (step: () => Promise<void> | void, opts: {
  periodMs: number
  signal: AbortSignal
  onError: (error: unknown) => void
}): Promise<void> {
  while (!opts.signal.aborted) {
    try {
      await step()
    } catch (error) {
      opts.onError(error)
    }
    await delay(opts.periodMs, opts.signal)
  }
}

/**
 * Exponential backoff with full jitter.
 * @param attempt - 0 for the first retry
 * @param opts - base and cap in milliseconds, and a random source in [0, 1)
 * @returns milliseconds to wait
 */
export function backoff (attempt: number, opts: { baseMs: number, capMs: number, random?: () => number }): number {
  const random = opts.random ?? Math.random
  const ceiling = Math.min(opts.capMs, opts.baseMs * 2 ** attempt)
  return ceiling * (0.5 + random() / 2)
}
