/** Signals of a long-running command. Node.js ends a process on a signal that has no handler. */
export interface CommandSignals {
  /** Aborted by the first SIGTERM or SIGINT. */
  readonly shutdown: AbortSignal
  /**
   * Registers the handler of SIGHUP.
   * @param handler - called for each SIGHUP, and at once if one has arrived before
   */
  onReload (handler: () => void): void
}

/**
 * Handles SIGTERM, SIGINT and SIGHUP from now on. A repeated SIGTERM does not cut the shutdown short; a second SIGINT,
 * from an impatient operator at a terminal, ends the process.
 * @returns the signals
 */
export function handleSignals (): CommandSignals {
  const shutdown = new AbortController()
  let reloadRequested = false
  let reload = (): void => { reloadRequested = true }
  process.on('SIGTERM', () => shutdown.abort())
  process.once('SIGINT', () => shutdown.abort())
  process.on('SIGHUP', () => reload())
  return {
    shutdown: shutdown.signal,
    onReload: handler => {
      reload = handler
      if (reloadRequested) handler()
    }
  }
}
