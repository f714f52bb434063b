import { compareRevisions, incarnationKey, mayBeSameIncarnation, UNKNOWN_BORN, type WorkerRegistration } from '@wisteriaslip/jobs.model'
import type { TrackedWorker } from './tracked-worker.ts'

/** Which incarnations of workers a term has seen, and in which order those under one id follow each other. */
export class Incarnations {
  private readonly seen = new Set<string>()
  /** Incarnations that are over because their ids have responded as others; their registrations may still be listed. */
  private readonly replaced = new Set<string>()

  /** @param registration - of an incarnation that is tracked from now on */
  add (registration: WorkerRegistration): void {
    this.seen.add(incarnationKey(registration))
  }

  /**
   * Notes that an id has responded as another incarnation. A registration that does not say when the worker started may be of either.
   * @param before - the incarnation that is over
   * @param next - the one that has responded
   */
  replace (before: WorkerRegistration, next: WorkerRegistration): void {
    if (before.born !== UNKNOWN_BORN) this.replaced.add(incarnationKey(before))
    this.replaced.delete(incarnationKey(next))
  }

  /**
   * @param registration - a registration that is listed
   * @returns whether its id has responded as another incarnation since
   */
  isReplaced (registration: WorkerRegistration): boolean {
    return this.replaced.has(incarnationKey(registration))
  }

  /**
   * Returns whether a registration is that of a later incarnation than the tracked one. The order in the store tells: the worker's
   * clock may have been set back. But an earlier incarnation's write may take effect late, so that, unless the clock agrees, nothing
   * may be running on the tracked one any more. One that does not say when the worker started may be of the tracked one until that has ended.
   * @param registration - a registration that is listed
   * @param tracked - the incarnation that is tracked under its id
   * @param leasesKnownAt - time of the injected clock for which it is known which leases workers hold
   * @returns whether it is to be tracked instead
   */
  isNext (registration: WorkerRegistration, tracked: TrackedWorker, leasesKnownAt: number): boolean {
    const order = compareRevisions(registration, tracked.registration)
    if (registration.born === UNKNOWN_BORN) return order > 0 && tracked.ended
    if (registration.born === tracked.registration.born || order < 0) return false
    if (registration.born > tracked.registration.born && !this.seen.has(incarnationKey(registration))) return true
    return order > 0 && (tracked.ended || tracked.haveLeasesExpired(leasesKnownAt))
  }
}

/**
 * @param registration - a registration that is listed
 * @param tracked - the incarnation that is tracked under its id
 * @returns whether it may be one of this incarnation, which is not known to have ended
 */
export function isOfTracked (registration: WorkerRegistration, tracked: TrackedWorker): boolean {
  return !tracked.ended && mayBeSameIncarnation(tracked.registration, registration)
}

/**
 * @param registration - a registration of a tracked incarnation
 * @param tracked - the one that is known of it
 * @returns the one that says more: the newer one, but for one that does not say when the worker started
 */
export function chooseRegistration (registration: WorkerRegistration, tracked: WorkerRegistration): WorkerRegistration {
  const losesBirth = registration.born === UNKNOWN_BORN && tracked.born !== UNKNOWN_BORN
  return losesBirth || compareRevisions(registration, tracked) < 0 ? tracked : registration
}
