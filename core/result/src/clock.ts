/** Monotonic time source, injected so that tests can control the time. */
export interface Clock {
  /** @returns milliseconds since an arbitrary start; never decreases */
  now (): number
}

/** The process's monotonic clock. It keeps running while the process is suspended. */
export const systemClock: Clock = {
  now: () => performance.now()
}
