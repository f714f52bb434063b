import type { Clock } from '@wisteriaslip/core.result'

const FAILURE_THRESHOLD = 3
const PROBE_INTERVAL_MS = 1_000

/**
 * Circuit breaker for a service. It opens after consecutive failures or timeouts; while it is open, one probe call is
 * allowed per interval to find out whether the service has recovered.
 */
export class CircuitBreaker {
  private failures = 0
  private nextProbeAt = 0
  private readonly clock: Clock

  constructor (clock: Clock) {
    this.clock = clock
  }

  /** @returns whether the service is considered available */
  isClosed (): boolean {
    return this.failures < FAILURE_THRESHOLD
  }

  /**
   * Decides whether a call may be made. While the breaker is open, one caller per interval is allowed through as a probe.
   * @returns whether the call may be made
   */
  allowCall (): boolean {
    if (this.isClosed()) return true
    const now = this.clock.now()
    if (now < this.nextProbeAt) return false
    this.nextProbeAt = now + PROBE_INTERVAL_MS
    return true
  }

  /** Records a call that was answered in time, and closes the breaker. */
  succeeded (): void {
    this.failures = 0
  }

  /** Records a failed call or a timeout. */
  failed (): void {
    this.failures += 1
    if (this.failures === FAILURE_THRESHOLD) this.nextProbeAt = this.clock.now() + PROBE_INTERVAL_MS
  }
}
