/** Monotonic time source. Injected so that tests decide what time it is. */
export interface Clock {
  /** @returns milliseconds since an arbitrary start; never goes back */
  now (): number
}

/** The process's monotonic clock. It keeps counting while the process is paused. */
export const systemClock: Clock = {
  now: () => performance.now()
}
