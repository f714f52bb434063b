/** Duration of a worker's lease. It outlasts a change of leader; the tasks of a lost worker are freed when it expires. */
export const WORKER_LEASE_MS = 4_000
/** The clock of a worker may be slow, by less than this factor. */
export const CLOCK_DRIFT_FACTOR = 1.05
/** The lease of a worker that has not responded for this long is not extended until it responds. */
export const MAX_RESPONSE_AGE_FOR_LEASE_MS = 3_000
/** A start, a stop or a change of speed ends after this time, with a response or without one. */
export const COMMAND_TIMEOUT_MS = 800
/** How long a poll of a worker without runs waits for a change: no other waits longer. */
export const POLL_WAIT_IDLE_MS = 2_000
/** A poll ends this long after its wait, with a response or without one. */
export const POLL_TIMEOUT_MARGIN_MS = 700
/**
 * How long a leader acts after its leadership was last confirmed. Its successor allows for as much: from its first moment on,
 * leases and starts of earlier leaders may still be sent for this long.
 */
export const LEADERSHIP_OVERLAP_MS = 1_500
