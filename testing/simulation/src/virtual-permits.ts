import { err, ok, type Result } from '@wisteriaslip/core.result'
import type { PermitClient, PermitError, Permits } from '@wisteriaslip/jobs.model'
import type { VirtualProcess } from '@wisteriaslip/testing.jobs'
import type { Draw } from './draw.ts'
import { callFromEntry } from './entry-call.ts'
import type { EntryLink } from './entry-link.ts'

const NETWORK_MS = { least: 2, spread: 8 }
const DECISION_MS = 80
const VALID_MS = 5_000

/** The permit service: it allows each step on each worker, after a while. */
export class VirtualPermits {
  /** It answers nothing. */
  silent = false
  private readonly process: VirtualProcess
  private readonly draw: Draw

  /**
   * @param process - gives the time
   * @param draw - decides about delays
   */
  constructor (process: VirtualProcess, draw: Draw) {
    this.process = process
    this.draw = draw
  }

  /**
   * @param link - connections of an entry
   * @returns the client of that entry
   */
  client (link: EntryLink): PermitClient {
    return { requestPermits: async (step, workers, { signal }) => await this.request(link, { step, workers, signal }) }
  }

  private async request (link: EntryLink, { step, workers, signal }: { step: string, workers: readonly string[], signal: AbortSignal }): Promise<Result<Permits, PermitError>> {
    const delayMs = (): number => NETWORK_MS.least + this.draw(NETWORK_MS.spread)
    const lost = (message: string): Result<Permits, PermitError> => err({ kind: 'unknown', message })
    return await callFromEntry<Result<Permits, PermitError>>({ process: this.process, link, signal, cut: () => undefined, delayMs, lost }, respond => {
      if (this.silent) return
      const permits = new Map(workers.map(worker => [worker, `${step} on ${worker}`]))
      this.process.outsideAfter(this.draw(DECISION_MS + 1), () => respond(ok({ permits, validMs: VALID_MS })))
    })
  }
}
