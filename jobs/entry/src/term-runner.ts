import { linkAbort, type LinkedAbort } from '@wisteriaslip/core.result'
import type { Logger } from '@wisteriaslip/core.logger'

/** A term that runs until its signal aborts or it ends by itself. */
export interface Term {
  readonly token: number
  run (signal: AbortSignal): Promise<void>
}

interface Running<T extends Term> {
  readonly term: T
  readonly ending: LinkedAbort
  readonly done: Promise<void>
}

/** Runs one term for each resource that this entry leads. */
export class Terms<T extends Term> {
  private readonly running = new Map<string, Running<T>>()
  private readonly begin: (resource: string, token: number) => T
  private readonly logger: Logger
  private readonly signal: AbortSignal

  /**
   * @param begin - makes the term of a resource
   * @param opts - logger, ending signal
   */
  constructor (begin: (resource: string, token: number) => T, opts: { logger: Logger, signal: AbortSignal }) {
    this.begin = begin
    this.logger = opts.logger
    this.signal = opts.signal
  }

  /**
   * @param resource - of a term
   * @returns the term that runs, undefined when none does
   */
  get (resource: string): T | undefined {
    return this.running.get(resource)?.term
  }

  /** @returns all terms that run */
  all (): T[] {
    return [...this.running.values()].map(({ term }) => term)
  }

  /**
   * Begins and ends terms so that they fit what this entry leads.
   * @param held - fencing tokens by resource
   */
  reconcile (held: ReadonlyMap<string, number>): void {
    for (const [resource, { term, ending }] of this.running) {
      if (held.get(resource) !== term.token) ending.abort()
    }
    for (const [resource, token] of held) {
      if (!this.running.has(resource) && !this.signal.aborted) this.start(resource, token)
    }
  }

  /** Waits for all terms to end, after the signal has aborted. */
  async ended (): Promise<void> {
    await Promise.all([...this.running.values()].map(async each => await each.done))
  }

  private start (resource: string, token: number): void {
    const ending = linkAbort(this.signal)
    const term = this.begin(resource, token)
    const done = term.run(ending.signal)
      .catch(error => this.logger.error({ err: error, resource, token }, 'term failed'))
      .finally(() => {
        ending.release()
        this.running.delete(resource)
        this.logger.info({ resource, token }, 'term ended')
      })
    this.running.set(resource, { term, ending, done })
  }
}
