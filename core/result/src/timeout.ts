/** A timer that fires later than this was held up by the process itself. */
const HELD_UP_MS = 20

/**
 * Calls a function after a timeout that does not count the time during which the process could not read its sockets.
 * Timers run before sockets are read, so that a process that was held up would otherwise time out calls whose responses
 * have arrived. The timeout is therefore extended once by the time for which it was held up, at most to twice its length,
 * and sockets are read before the function is called.
 * @param ms - timeout in milliseconds
 * @param callback - called when the timeout has passed
 * @returns a function that cancels the timeout
 */
export function startTimeout (ms: number, callback: () => void): () => void {
  const dueAt = performance.now() + ms
  let immediate: NodeJS.Immediate | undefined
  const expire = (): void => { immediate = setImmediate(callback) }
  let timer = setTimeout(() => {
    const heldUpMs = performance.now() - dueAt
    if (heldUpMs > HELD_UP_MS) timer = setTimeout(expire, Math.min(heldUpMs, ms))
    else expire()
  }, ms)
  return () => {
    clearTimeout(timer)
    clearImmediate(immediate)
  }
}
