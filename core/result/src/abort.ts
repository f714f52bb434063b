import { onAbort } from './abort-listeners.ts'
import { startTimeout } from './timeout.ts'

/** Abort signal that is linked to a parent signal and a timer until it is released. */
export interface LinkedAbort {
  readonly signal: AbortSignal
  /** Aborts the signal. */
  abort (): void
  /** Starts the timeout again, if there is one: the operation makes progress. */
  restart (): void
  /** Detaches the signal from its parent and clears the timer. Must be called when the operation has ended. */
  release (): void
}

/**
 * Creates a signal that aborts with its parent or after a timeout. The parent and the timer keep strong references to it:
 * a signal made with `AbortSignal.any` over `AbortSignal.timeout` can be garbage-collected before it fires, and whatever
 * waits for it then hangs forever.
 * @param parent - signal whose abort is forwarded
 * @param ms - timeout in milliseconds, as {@link startTimeout} counts it; undefined for none
 * @returns the linked signal
 */
export function linkAbort (parent: AbortSignal | undefined, ms?: number): LinkedAbort {
  const controller = new AbortController()
  const abort = (): void => controller.abort()
  let cancelTimeout = ms === undefined ? undefined : startTimeout(ms, abort)
  const detach = parent === undefined ? undefined : onAbort(parent, abort)
  let released = false
  const restart = (): void => {
    if (ms === undefined || released) return
    cancelTimeout?.()
    cancelTimeout = startTimeout(ms, abort)
  }
  const release = (): void => {
    released = true
    cancelTimeout?.()
    detach?.()
  }
  return { signal: controller.signal, abort, restart, release }
}

/**
 * Runs an operation with a signal that aborts after a timeout or with the parent signal. The operation must observe the
 * signal; otherwise the timeout has no effect.
 * @param ms - timeout in milliseconds, as {@link startTimeout} counts it
 * @param parent - signal whose abort is forwarded
 * @param run - the operation; gets the signal, and a function that starts the timeout again when it makes progress
 * @returns the result of the operation
 */
export async function withTimeout<T> (ms: number, parent: AbortSignal | undefined, run: (signal: AbortSignal, restart: () => void) => Promise<T>): Promise<T> {
  const linked = linkAbort(parent, ms)
  try {
    return await run(linked.signal, linked.restart)
  } finally {
    linked.release()
  }
}

/**
 * Waits for an operation until a signal aborts. For operations that observe the signal late, such as a request of undici, which
 * looks at it only once there is a connection.
 * @param signal - ends the wait
 * @param operation - the operation; its later outcome is ignored
 * @returns the result of the operation
 * @throws the error of the operation, or one when the signal aborts
 */
export async function untilAborted<T> (signal: AbortSignal, operation: Promise<T>): Promise<T> {
  let removeListener = (): void => {}
  const aborted = new Promise<never>((_resolve, reject) => { removeListener = onAbort(signal, () => reject(new Error('aborted', { cause: signal.reason }))) })
  try {
    return await Promise.race([operation, aborted])
  } finally {
    removeListener()
  }
}
