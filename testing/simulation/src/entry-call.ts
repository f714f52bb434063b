import type { VirtualProcess } from '@wisteriaslip/testing.jobs'
import type { EntryLink, LinkCut } from './entry-link.ts'

/** How a call of an entry to something outside passes. */
export interface EntryCallOpts<T> {
  readonly process: VirtualProcess
  readonly link: EntryLink
  readonly signal: AbortSignal | undefined
  /** The caller gives up after this time, in milliseconds; only by its signal by default. */
  readonly timeoutMs?: number | undefined
  /** @returns how the way is cut now, whether there or back */
  readonly cut: () => LinkCut | undefined
  /** @returns how long the next message is under way, in milliseconds */
  readonly delayMs: () => number
  /** @returns what the caller gets if there is no response */
  readonly lost: (message: string) => T
}

/**
 * Carries a call to its receiver and the response back, as far as the way lets them pass.
 * @param opts - caller, way, and what it gets without a response
 * @param carryOut - called when the call arrives, with what sends its response, and what resets its connection
 * @returns the response
 */
export async function callFromEntry<T> ({ process, link, signal, timeoutMs, cut, delayMs, lost }: EntryCallOpts<T>, carryOut: (respond: (response: T) => void, reset: () => void) => void): Promise<T> {
  if (signal?.aborted === true) return lost('aborted')
  return await new Promise(resolve => {
    const giveUp = (): void => end(lost('aborted'))
    const end = (response: T): void => {
      signal?.removeEventListener('abort', giveUp)
      resolve(response)
    }
    signal?.addEventListener('abort', giveUp)
    const reset = (): void => link.deliver(() => end(lost('read ECONNRESET')))
    const respond = (response: T): void => process.outsideAfter(delayMs(), () => {
      const how = cut()
      if (how === 'reset') reset()
      else if (how === undefined) link.deliver(() => end(response))
    })
    if (timeoutMs !== undefined) process.outsideAfter(timeoutMs, () => link.deliver(() => end(lost('timeout'))))
    if (!link.alive) return
    process.outsideAfter(delayMs(), () => {
      const how = cut()
      if (how === 'reset') reset()
      else if (how !== 'silent') carryOut(respond, reset)
    })
  })
}
