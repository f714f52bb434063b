/**
 * Callbacks by signal. Node.js keeps the listeners of a signal in a list that each addition and removal walks, so that
 * the cost of a call would grow with the number of calls that wait under the same signal.
 */
const callbacksBySignal = new WeakMap<AbortSignal, Set<() => void>>()

/**
 * Calls a function once when a signal aborts, immediately if it has aborted already. Adding and removing cost the same
 * however many callbacks a signal has.
 * @param signal - the signal
 * @param callback - called on abort
 * @returns a function that removes the callback
 */
export function onAbort (signal: AbortSignal, callback: () => void): () => void {
  if (signal.aborted) {
    callback()
    return () => {}
  }
  const callbacks = callbacksBySignal.get(signal) ?? listen(signal)
  callbacks.add(callback)
  return () => { callbacks.delete(callback) }
}

function listen (signal: AbortSignal): Set<() => void> {
  const callbacks = new Set<() => void>()
  callbacksBySignal.set(signal, callbacks)
  signal.addEventListener('abort', () => {
    for (const callback of [...callbacks]) callback()
    callbacks.clear()
  }, { once: true })
  return callbacks
}
