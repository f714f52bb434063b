/** Maintenance and moves begin this soon after the leader of a service was asked: later, something may run on its VMs. */
const MAX_AGE_MS = 1_000

/** VMs on which nothing runs, as the leader of their service has found. */
export interface DrainedVms {
  readonly vms: ReadonlySet<string>
  /** When the leader was asked, by the injected clock: it may have looked at once, however late it responded. */
  readonly askedAt: number
  /** @returns whether that leader's term has not ended, as far as is known; undefined if the VMs need no leader */
  readonly isTermCurrent?: () => boolean
}

/**
 * @param drained - drained VMs
 * @param now - time of the injected clock, in milliseconds
 * @returns whether they can be relied on to be drained still
 */
export function areStillDrained (drained: DrainedVms, now: number): boolean {
  return now - drained.askedAt <= MAX_AGE_MS && drained.isTermCurrent?.() !== false
}
