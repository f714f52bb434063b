import type { Clock } from '@wisteriaslip/core.result'

/** Clock that moves only when a test advances it. */
export class ManualClock implements Clock {
  private ms = 0

  now (): number {
    return this.ms
  }

  /** @param ms - time to advance by, in milliseconds */
  advance (ms: number): void {
    this.ms += ms
  }
}
