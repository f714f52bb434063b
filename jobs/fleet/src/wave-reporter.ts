import type { Logger } from '@wisteriaslip/core.logger'
import { backoff, type Clock } from '@wisteriaslip/core.result'
import type { Wave } from '@wisteriaslip/jobs.model'

const RETRY_BASE_MS = 200
const RETRY_CAP_MS = 2_000

/** State of a wave, as operators are told. */
export type ReportedState = 'running' | 'completed'

/** Options of {@link WaveReporter}. */
export interface WaveReporterOpts {
  /** @returns whether the state of the wave was written */
  readonly writeStatus: (wave: Wave, completed: boolean) => Promise<boolean>
  readonly clock: Clock
  readonly logger: Logger
}

/** Tells operators the state of one wave, and repeats what could not be written. */
export class WaveReporter {
  private readonly opts: WaveReporterOpts
  private state: ReportedState | undefined
  private isWriting = false
  private failures = 0
  private retryAt = Number.NEGATIVE_INFINITY

  /**
   * @param opts - dependencies
   * @param reported - what an earlier leader has told operators
   */
  constructor (opts: WaveReporterOpts, reported?: ReportedState) {
    this.opts = opts
    this.state = reported
  }

  /** @returns what operators have been told; undefined if that is unknown */
  reported (): ReportedState | undefined {
    return this.state
  }

  /**
   * Writes the state of the wave in the background, unless that is known to be written.
   * @param wave - the wave
   * @param state - its state
   * @param onWritten - called once the state is written
   */
  report (wave: Wave, state: ReportedState, onWritten: () => void): void {
    if (this.state === state || this.isWriting || this.opts.clock.now() < this.retryAt) return
    this.isWriting = true
    // A write that is answered as failed may have taken effect.
    this.state = undefined
    this.opts.writeStatus(wave, state === 'completed')
      .catch(error => {
        this.opts.logger.error({ err: error, wave: wave.number }, 'failed to report the state of a wave')
        return false
      })
      .then(isWritten => {
        if (isWritten) this.noteWritten(state, onWritten)
        else this.noteFailed()
      })
      .finally(() => { this.isWriting = false })
  }

  private noteWritten (state: ReportedState, onWritten: () => void): void {
    this.state = state
    this.failures = 0
    this.retryAt = Number.NEGATIVE_INFINITY
    onWritten()
  }

  private noteFailed (): void {
    this.failures += 1
    this.retryAt = this.opts.clock.now() + backoff(this.failures, { baseMs: RETRY_BASE_MS, capMs: RETRY_CAP_MS })
  }
}
