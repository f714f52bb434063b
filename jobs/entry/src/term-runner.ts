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

/** Options of {@link TermRunner}. */
export interface TermRunnerOpts {
  readonly logger: Logger
  /** Ends all terms. */
  readonly signal: AbortSignal
  /** Gives up the leadership of a resource if this entry still holds it with the token; called again while it is held. */
  readonly giveUp: (resource: string, token: number) => Promise<void>
}

/**
 * Runs one term for each resource that this entry leads, and never two under one fencing token: commands of the first could
 * not be told from those of the second. A leadership whose term has ended by itself is given up, so that whoever leads next
 * has a new token.
 */
export class TermRunner<T extends Term> {
  private readonly running = new Map<string, RunningTerm<T>>()
  /** Token of the last term that was started, by resource. */
  private readonly lastTokens = new Map<string, number>()
  private readonly givingUp = new Set<string>()
  private readonly createTerm: (resource: string, token: number) => T
  private readonly opts: TermRunnerOpts

  /**
   * @param createTerm - creates the term of a resource for a fencing token
   * @param opts - logger, signal, and how to give up a leadership
   */
  constructor (createTerm: (resource: string, token: number) => T, opts: TermRunnerOpts) {
    this.createTerm = createTerm
    this.opts = opts
  }

  /**
   * @param resource - name of a resource
   * @returns its running term, undefined when there is none
   */
  get (resource: string): T | undefined {
    return this.running.get(resource)?.term
  }

  /**
   * @param resource - name of a resource
   * @returns token of the last term that was started for it, undefined when there was none
   */
  lastToken (resource: string): number | undefined {
    return this.lastTokens.get(resource)
  }

  /** @returns all running terms */
  all (): T[] {
    return [...this.running.values()].map(({ term }) => term)
  }

  /**
   * Starts and ends terms to match the resources that this entry leads, and gives up those whose terms have ended.
   * @param held - fencing tokens by resource that this entry leads
   */
  reconcile (held: ReadonlyMap<string, number>): void {
    for (const [resource, { term, linkedAbort }] of this.running) {
      if (held.get(resource) !== term.token) linkedAbort.abort()
    }
    for (const [resource, token] of held) {
      if (this.running.has(resource) || this.opts.signal.aborted) continue
      if (this.lastTokens.get(resource) === token) this.giveUp(resource, token)
      else this.start(resource, token)
    }
  }

  /** Resolves when all terms have ended; call it after the signal has aborted. */
  async ended (): Promise<void> {
    await Promise.all([...this.running.values()].map(async each => await each.done))
  }

  private start (resource: string, token: number): void {
    const { logger } = this.opts
    const linkedAbort = linkAbort(this.opts.signal)
    const term = this.createTerm(resource, token)
    this.lastTokens.set(resource, token)
    const done = term.run(linkedAbort.signal)
      .catch(error => logger.error({ err: error, resource, token }, 'term failed'))
      .finally(() => {
        linkedAbort.release()
        this.running.delete(resource)
        logger.info({ resource, token }, 'term ended')
      })
    this.running.set(resource, { term, linkedAbort, done })
  }

  private giveUp (resource: string, token: number): void {
    if (this.givingUp.has(resource)) return
    this.givingUp.add(resource)
    this.opts.giveUp(resource, token)
      .catch(error => this.opts.logger.error({ err: error, resource, token }, 'failed to give up leadership'))
      .finally(() => this.givingUp.delete(resource))
  }
}
