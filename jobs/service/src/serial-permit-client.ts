import { err, onAbort, withTimeout, type Result } from '@wisteriaslip/core.result'
import type { PermitClient, PermitError, Permits } from '@wisteriaslip/jobs.model'

/** Begins the turn of a request that waits for it. */
type BeginTurn = () => void

/**
 * Sends the requests of all leaders of an entry one at a time, as the permit service handles them: the timeout of a request starts with
 * its turn, and does not count the requests before it. Urgent ones go before others, but for each second turn.
 */
export class SerialPermitClient implements PermitClient {
  private readonly client: PermitClient
  private isBusy = false
  private wasUrgent = false
  private readonly urgent = new Set<BeginTurn>()
  private readonly others = new Set<BeginTurn>()

  /** @param client - client of the permit service */
  constructor (client: PermitClient) {
    this.client = client
  }

  async requestPermits (step: string, workers: readonly string[], { timeoutMs, urgent = false, signal }: Parameters<PermitClient['requestPermits']>[2]): Promise<Result<Permits, PermitError>> {
    if (!await this.hasTurn(urgent, signal)) return err({ kind: 'unknown', message: 'aborted before its turn' })
    this.wasUrgent = urgent
    try {
      return await withTimeout(timeoutMs, signal, async inner => await this.client.requestPermits(step, workers, { timeoutMs, signal: inner }))
    } finally {
      this.passOn()
    }
  }

  /** Waits for the turn of a request; false if it is aborted before, so that a term that ends does not wait for those of others. */
  private async hasTurn (urgent: boolean, signal: AbortSignal): Promise<boolean> {
    if (signal.aborted) return false
    if (!this.isBusy) {
      this.isBusy = true
      return true
    }
    const line = urgent ? this.urgent : this.others
    return await new Promise(resolve => {
      const end = (hasTurn: boolean): void => {
        line.delete(beginTurn)
        detach()
        resolve(hasTurn)
      }
      const beginTurn = (): void => end(true)
      const detach = onAbort(signal, () => end(false))
      line.add(beginTurn)
    })
  }

  /** Gives the turn to the request that comes next. */
  private passOn (): void {
    const [beginTurn] = this.wasUrgent ? [...this.others, ...this.urgent] : [...this.urgent, ...this.others]
    if (beginTurn === undefined) this.isBusy = false
    else beginTurn()
  }
}
