/** Abort signal that is linked to a parent signal and a timer until it is released. */
export interface LinkedAbort {
  readonly signal: AbortSignal
  /** Aborts the signal. */
  abort (): void
  /** Detaches the signal from its parent and clears the timer. Must be called when the operation has ended. */
  release (): void
}

/**
 * Creates a signal that aborts with its parent or after a timeout. The parent and the timer keep strong references to it:
 * a signal made with `AbortSignal.any` over `AbortSignal.timeout` can be garbage-collected before it fires, and whatever
 * waits for it then hangs forever.
 * @param parent - signal whose abort is forwarded
 * @param ms - timeout in milliseconds; undefined for none
 * @returns the linked signal
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
 * Runs an operation with a signal that aborts after a timeout or with the parent signal. The operation must observe the
 * signal; otherwise the timeout has no effect.
 * @param ms - timeout in milliseconds
 * @param parent - signal whose abort is forwarded
 * @param run - the operation
 * @returns the result of the operation
 */
export async function withTimeout<T> (ms: number, parent: AbortSignal | undefined, run: (signal: AbortSignal) => Promise<T>): Promise<T> {
  const linked = linkAbort(parent, ms)
  try {
    return await run(linked.signal)
  } finally {
    linked.release()
  }
}
