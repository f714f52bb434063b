import { linkAbort, type LinkedAbort } from '@wisteriaslip/core.result'
import type { Logger } from '@wisteriaslip/core.logger'

/** One period of leadership of a resource; it runs until its signal aborts or it ends by itself. */
export interface Term {
  readonly token: number
  run (signal: AbortSignal): Promise<void>
}

interface RunningTerm<T extends Term> {
  readonly term: T
  readonly linkedAbort: LinkedAbort
  readonly done: Promise<void>
}

/** Runs one term for each resource that this entry leads. */
export class TermRunner<T extends Term> {
  private readonly running = new Map<string, RunningTerm<T>>()
  private readonly createTerm: (resource: string, token: number) => T
  private readonly logger: Logger
  private readonly signal: AbortSignal

  /**
   * @param createTerm - creates the term of a resource for a fencing token
   * @param opts - logger, and the signal that ends all terms
   */
  constructor (createTerm: (resource: string, token: number) => T, opts: { logger: Logger, signal: AbortSignal }) {
    this.createTerm = createTerm
    this.logger = opts.logger
    this.signal = opts.signal
  }

  /**
   * @param resource - name of a resource
   * @returns its running term, undefined when there is none
   */
  get (resource: string): T | undefined {
    return this.running.get(resource)?.term
  }

  /** @returns all running terms */
  all (): T[] {
    return [...this.running.values()].map(({ term }) => term)
  }

  /**
   * Starts and ends terms to match the resources that this entry leads.
   * @param held - fencing tokens by resource that this entry leads
   */
  reconcile (held: ReadonlyMap<string, number>): void {
    for (const [resource, { term, linkedAbort }] of this.running) {
      if (held.get(resource) !== term.token) linkedAbort.abort()
    }
    for (const [resource, token] of held) {
      if (!this.running.has(resource) && !this.signal.aborted) this.start(resource, token)
    }
  }

  /** Resolves when all terms have ended; call it after the signal has aborted. */
  async ended (): Promise<void> {
    await Promise.all([...this.running.values()].map(async each => await each.done))
  }

  private start (resource: string, token: number): void {
    const linkedAbort = linkAbort(this.signal)
    const term = this.createTerm(resource, token)
    const done = term.run(linkedAbort.signal)
      .catch(error => this.logger.error({ err: error, resource, token }, 'term failed'))
      .finally(() => {
        linkedAbort.release()
        this.running.delete(resource)
        this.logger.info({ resource, token }, 'term ended')
      })
    this.running.set(resource, { term, linkedAbort, done })
  }
}
