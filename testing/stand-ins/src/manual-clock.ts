import type { Clock } from '@wisteriaslip/core.result'

/** Clock that moves only when a test says so. */
export class ManualClock implements Clock {
  private ms = 0

  now (): number {
    return this.ms
  }

  /** @param ms - how far time moves on */
  advance (ms: number): void {
    this.ms += ms
  }
}
