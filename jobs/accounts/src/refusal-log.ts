import type { Clock } from '@wisteriaslip/core.result'
import type { Logger } from '@wisteriaslip/core.logger'

const WINDOW_MS = 1_000
const MAX_LINES_PER_WINDOW = 10

/** Logs refused calls of one kind: a line for each, beyond ten a second only their number. */
export class RefusalLog {
  private readonly clock: Clock
  private readonly logger: Logger
  private readonly message: string
  private windowBeganAt = Number.NEGATIVE_INFINITY
  private lines = 0
  private readonly unlogged = new Map<string, number>()

  /**
   * @param clock - clock of the seconds
   * @param logger - gets the lines
   * @param message - what they say
   */
  constructor (clock: Clock, logger: Logger, message: string) {
    this.clock = clock
    this.message = message
    this.logger = logger
  }

  /** @param refusal - the refused call, and why */
  note (refusal: { readonly reason: string } & Readonly<Record<string, unknown>>): void {
    if (this.clock.now() - this.windowBeganAt >= WINDOW_MS) this.beginWindow()
    if (this.lines < MAX_LINES_PER_WINDOW) {
      this.lines += 1
      this.logger.info(refusal, this.message)
      return
    }
    if (this.unlogged.size === 0) setTimeout(() => this.logUnlogged(), WINDOW_MS).unref()
    this.unlogged.set(refusal.reason, (this.unlogged.get(refusal.reason) ?? 0) + 1)
  }

  private beginWindow (): void {
    this.logUnlogged()
    this.windowBeganAt = this.clock.now()
    this.lines = 0
  }

  private logUnlogged (): void {
    if (this.unlogged.size === 0) return
    this.logger.info({ byReason: Object.fromEntries(this.unlogged) }, `${this.message}: more of them`)
    this.unlogged.clear()
  }
}
