import { err, untilAborted, withTimeout, type Result } from '@wisteriaslip/core.result'
import type { PermitClient, PermitError, Permits } from '@wisteriaslip/jobs.model'

/**
 * Sends the requests of all leaders of an entry one at a time, as the permit service handles them: the timeout of a request starts with
 * its turn, and does not count the requests before it.
 */
export class SerialPermitClient implements PermitClient {
  private readonly client: PermitClient
  /** Resolves when all requests so far have ended. */
  private idle: Promise<unknown> = Promise.resolve()

  /** @param client - client of the permit service */
  constructor (client: PermitClient) {
    this.client = client
  }

  async requestPermits (step: string, workers: readonly string[], { timeoutMs, signal }: Parameters<PermitClient['requestPermits']>[2]): Promise<Result<Permits, PermitError>> {
    const turn = this.idle
    const send = async (): Promise<Result<Permits, PermitError>> => {
      if (!await hasTurn(turn, signal)) return err({ kind: 'unknown', message: 'aborted before its turn' })
      return await withTimeout(timeoutMs, signal, async inner => await this.client.requestPermits(step, workers, { timeoutMs, signal: inner }))
    }
    const request = send()
    this.idle = Promise.allSettled([turn, request])
    return await request
  }
}

/** Waits for the turn of a request; false if it is aborted before, so that a term that ends does not wait for those of others. */
async function hasTurn (turn: Promise<unknown>, signal: AbortSignal): Promise<boolean> {
  if (signal.aborted) return false
  return await untilAborted(signal, turn).then(() => true, () => false)
}
