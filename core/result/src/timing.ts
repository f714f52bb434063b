import { onAbort } from './abort-listeners.ts'

/**
 * Waits, but returns early when the signal aborts.
 * @param ms - milliseconds to wait
 * @param signal - ends the wait when aborted
 * @returns false when aborted, otherwise true
 */
export async function delay (ms: number, signal: AbortSignal): Promise<boolean> {
  if (signal.aborted) return false
  await new Promise<void>(resolve => {
    const end = (): void => {
      clearTimeout(timer)
      detach()
      resolve()
    }
    const timer = setTimeout(end, ms)
    const detach = onAbort(signal, end)
  })
  return !signal.aborted
}

/**
 * Runs a step repeatedly until the signal aborts. An error thrown by a step is reported and does not end the loop.
 * @param step - the step to run
 * @param opts - delay between two steps in milliseconds, abort signal, and handler of errors
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
 * Computes an exponential backoff with equal jitter: a random delay between half of the exponential delay and all of it.
 * @param attempt - 0 for the first retry
 * @param opts - base delay and maximum delay in milliseconds, and a random source in [0, 1)
 * @returns milliseconds to wait
 */
export function backoff (attempt: number, opts: { baseMs: number, capMs: number, random?: () => number }): number {
  const random = opts.random ?? Math.random
  const ceiling = Math.min(opts.capMs, opts.baseMs * 2 ** attempt)
  return ceiling * (0.5 + random() / 2)
}
