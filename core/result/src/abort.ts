/** A signal that follows others, until it is released. */
export interface LinkedAbort {
  readonly signal: AbortSignal
  /** Aborts the signal. */
  abort (): void
  /** Lets go of parents and timer. Must be called when the work has ended. */
  release (): void
}

/**
 * A signal that aborts with its parent or after a time. It holds on to both by ordinary references: a signal made by
 * `AbortSignal.any` over `AbortSignal.timeout` can be collected before it fires, and what waits for it hangs for good.
 * @param parent - aborts the signal too
 * @param ms - milliseconds after which it aborts; undefined for never
 * @returns the signal
 */
export function linkAbort (parent: AbortSignal | undefined, ms?: number): LinkedAbort {
  const controller = new AbortController()
  const abort = (): void => controller.abort()
  const timer = ms === undefined ? undefined : setTimeout(abort, ms)
  parent?.addEventListener('abort', abort, { once: true })
  if (parent?.aborted === true) abort()
  const release = (): void => {
    clearTimeout(timer)
    parent?.removeEventListener('abort', abort)
  }
  return { signal: controller.signal, abort, release }
}

/**
 * Runs a call that must end in time.
 * @param ms - milliseconds
 * @param parent - ends it too
 * @param run - the call, which heeds the signal
 * @returns what the call gives
 */
export async function withTimeout<T> (ms: number, parent: AbortSignal | undefined, run: (signal: AbortSignal) => Promise<T>): Promise<T> {
  const linked = linkAbort(parent, ms)
  try {
    return await run(linked.signal)
  } finally {
    linked.release()
  }
}
