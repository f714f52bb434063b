import type { Wave } from '@wisteriaslip/jobs.model'
import type { VmPhase } from './vm-phases.ts'

/** A request is repeated after this long, and after twice as long with each further refusal, up to a maximum. */
const RETRY_AFTER_MS = 500
const MAX_RETRY_AFTER_MS = 2_000
/** A request without a response may be carried out up to this much later. */
const LATE_REQUEST_MS = 12_000

interface VmProgress {
  phase: VmPhase
  /** When the phase began, by the injected clock. */
  since: number
  /** When the latest request without a response ended, by the injected clock; undefined if there was none. */
  unansweredAt?: number
  /** A request is about to be sent, or being sent. */
  isSending?: boolean
  /** When the only request was recorded and not sent, by the injected clock; undefined once it is being sent. */
  heldBackAt?: number | undefined
  /** Since when it has been planned in each pass, by the injected clock. */
  plannedAt?: number
  /** The platform's reason for the last refusal. */
  refusal?: string
  /** Number of refusals in a row. */
  refusals: number
  /** No request is sent before this time. */
  retryAt: number
}

/** Options of {@link WaveTracker}. */
export interface WaveTrackerOpts {
  /** Time of the injected clock, in milliseconds. */
  readonly now: number
  /** From earlier leaders: ids of the VMs whose maintenance for this wave the platform has confirmed. */
  readonly begun?: readonly string[]
  /** From earlier leaders: ids of the VMs with a request that may have taken effect, or may yet. */
  readonly requested?: readonly string[]
  /** From earlier leaders: ids of the VMs that were gone. */
  readonly gone?: readonly string[]
  /** Milliseconds since an earlier leader first saw the wave. */
  readonly elapsedMs?: number
}

/**
 * Progress of one wave, as the platform's responses to requests for this wave prove it. The list of VMs proves nothing
 * here: a VM may be in maintenance for another wave.
 */
export class WaveTracker {
  private declared: Wave
  private readonly startedAt: number
  private readonly progressOf = new Map<string, VmProgress>()
  /** Progress of VMs that the wave named before, whose requests may take effect if it names them again. */
  private readonly formerProgressOf = new Map<string, VmProgress>()

  /**
   * @param wave - the wave as declared
   * @param opts - time, and progress made under earlier leaders
   */
  constructor (wave: Wave, opts: WaveTrackerOpts) {
    this.declared = wave
    this.startedAt = opts.now - (opts.elapsedMs ?? 0)
    this.update(wave, opts.now)
    for (const vm of opts.begun ?? []) this.setPhase(vm, 'begun', opts.now)
    for (const vm of opts.requested ?? []) this.markResumed(vm, opts.now)
    for (const vm of opts.gone ?? []) this.setPhase(vm, 'gone', opts.now)
  }

  /** @returns the wave as last declared */
  get wave (): Wave {
    return this.declared
  }

  /** @returns when the wave should be done, by the injected clock */
  get endsAt (): number {
    return this.startedAt + this.declared.durationMs
  }

  /**
   * Applies a changed document: VMs that it adds wait, VMs that it no longer names are dropped. A request on its way is kept
   * track of meanwhile.
   * @param wave - the wave as declared now
   * @param now - time of the injected clock, in milliseconds
   */
  update (wave: Wave, now: number): void {
    this.declared = wave
    const named = new Set(wave.vms)
    for (const vm of this.progressOf.keys()) if (!named.has(vm)) this.drop(vm, now)
    for (const vm of named) if (!this.progressOf.has(vm)) this.add(vm, now)
  }

  private drop (vm: string, now: number): void {
    const progress = this.progressOf.get(vm)
    this.progressOf.delete(vm)
    if (progress?.phase === 'requested') this.formerProgressOf.set(vm, { ...progress, unansweredAt: progress.unansweredAt ?? now })
  }

  private add (vm: string, now: number): void {
    const former = this.formerProgressOf.get(vm)
    this.formerProgressOf.delete(vm)
    const isOnItsWay = isLately(former?.unansweredAt, now)
    this.progressOf.set(vm, former !== undefined && isOnItsWay ? former : { phase: 'waiting', since: now, refusals: 0, retryAt: now })
  }

  /** @returns number of the wave's VMs */
  size (): number {
    return this.progressOf.size
  }

  /**
   * @param phase - a phase
   * @returns ids of the VMs in this phase
   */
  inPhase (phase: VmPhase): string[] {
    return [...this.progressOf].filter(([, progress]) => progress.phase === phase).map(([vm]) => vm)
  }

  /**
   * @param vm - id of a VM
   * @param now - time of the injected clock, in milliseconds
   * @returns whether a request for it may be sent now
   */
  mayRequest (vm: string, now: number): boolean {
    const progress = this.progressOf.get(vm)
    if (progress === undefined || now < progress.retryAt) return false
    return progress.phase === 'waiting' || progress.phase === 'requested'
  }

  /**
   * @param vm - id of a VM
   * @returns whether the wave names it
   */
  names (vm: string): boolean {
    return this.progressOf.has(vm)
  }

  /**
   * @param vm - id of a VM
   * @param now - time of the injected clock, in milliseconds
   * @returns whether a request for it may have taken effect lately, or may yet
   */
  mayTakeEffect (vm: string, now: number): boolean {
    const progress = this.progressOf.get(vm)
    if (progress?.phase !== 'requested') return false
    return progress.isSending === true || progress.unansweredAt === undefined || isLately(progress.unansweredAt, now)
  }

  /**
   * @param now - time of the injected clock, in milliseconds
   * @returns ids of the VMs that the wave no longer names, and whose requests may take effect if it names them again
   */
  formerRequests (now: number): string[] {
    return [...this.formerProgressOf].filter(([, progress]) => isLately(progress.unansweredAt, now)).map(([vm]) => vm)
  }

  /**
   * @param vms - ids of the VMs that are planned in this pass
   * @param now - time of the injected clock, in milliseconds
   */
  markPlanned (vms: readonly string[], now: number): void {
    const planned = new Set(vms)
    for (const [vm, progress] of this.progressOf) progress.plannedAt = planned.has(vm) ? progress.plannedAt ?? now : undefined
  }

  /**
   * @param vm - id of a VM
   * @param now - time of the injected clock, in milliseconds
   * @returns for how many milliseconds it has been planned in each pass; undefined if it was not in the previous one
   */
  plannedMs (vm: string, now: number): number | undefined {
    const plannedAt = this.progressOf.get(vm)?.plannedAt
    return plannedAt === undefined ? undefined : now - plannedAt
  }

  /** @returns whether the maintenance of every VM has begun, except of VMs that are gone */
  isDone (): boolean {
    return [...this.progressOf.values()].every(({ phase }) => phase === 'begun' || phase === 'gone')
  }

  /**
   * @param now - time of the injected clock, in milliseconds
   * @returns milliseconds since the wave was first seen, by this or an earlier leader
   */
  elapsedMs (now: number): number {
    return Math.round(now - this.startedAt)
  }

  /**
   * @param vm - id of the VM whose request is about to be sent
   * @param now - time of the injected clock, in milliseconds
   */
  markRequested (vm: string, now: number): void {
    this.setPhase(vm, 'requested', now)
  }

  /** @param vm - id of a VM whose request, or the repetition of one, is being recorded or sent until {@link markSent} */
  markSending (vm: string): void {
    const progress = this.progressOf.get(vm)
    if (progress === undefined) return
    progress.isSending = true
    progress.heldBackAt = undefined
  }

  /** @param vm - id of a VM whose request was answered, is no longer waited for, or was not sent after all */
  markSent (vm: string): void {
    const progress = this.progressOf.get(vm)
    if (progress !== undefined) progress.isSending = false
  }

  /** A request of an earlier leader is repeated at once. */
  private markResumed (vm: string, now: number): void {
    const resumed: VmProgress = { phase: 'requested', since: now, refusals: 0, retryAt: now, unansweredAt: now }
    const progressOf = this.progressOf.has(vm) ? this.progressOf : this.formerProgressOf
    progressOf.set(vm, resumed)
  }

  /**
   * @param vm - id of a VM whose request was not sent after all
   * @param now - time of the injected clock, in milliseconds
   */
  markUnsent (vm: string, now: number): void {
    const progress = this.progressOf.get(vm)
    if (progress?.phase === 'requested' && progress.unansweredAt === undefined) this.setPhase(vm, 'waiting', now)
  }

  /**
   * @param vm - id of a VM whose request was recorded and not sent: it is sent in the next pass, or its place is given back
   * @param now - time of the injected clock, in milliseconds
   */
  markHeldBack (vm: string, now: number): void {
    const progress = this.progressOf.get(vm)
    if (progress?.phase === 'requested' && progress.unansweredAt === undefined) progress.heldBackAt = now
  }

  /**
   * Gives back the places of requests that were held back and have not been sent since.
   * @param before - those held back before this time of the injected clock
   * @param now - time of the injected clock, in milliseconds
   */
  releaseHeldBack (before: number, now: number): void {
    for (const [vm, { heldBackAt }] of this.progressOf) if (heldBackAt !== undefined && heldBackAt < before) this.setPhase(vm, 'waiting', now)
  }

  /**
   * @param vm - id of a VM whose request had no response: it may have taken effect, and is repeated until one confirms it
   * @param now - time of the injected clock, in milliseconds
   */
  markUnanswered (vm: string, now: number): void {
    const progress = this.progressOf.get(vm)
    if (progress === undefined) return
    progress.unansweredAt = now
    progress.retryAt = now + RETRY_AFTER_MS
  }

  /**
   * @param vm - id of a VM whose maintenance for this wave the platform has begun, now or earlier
   * @param now - time of the injected clock, in milliseconds
   */
  markBegun (vm: string, now: number): void {
    this.setPhase(vm, 'begun', now)
  }

  /**
   * @param vm - id of a VM whose request the platform refused
   * @param reason - the platform's reason; it holds for the moment only
   * @param now - time of the injected clock, in milliseconds
   */
  markRefused (vm: string, reason: string, now: number): void {
    const progress = this.progressOf.get(vm)
    if (progress === undefined) return
    if (!isLately(progress.unansweredAt, now)) this.setPhase(vm, 'waiting', now)
    progress.refusal = reason
    progress.refusals += 1
    progress.retryAt = now + Math.min(MAX_RETRY_AFTER_MS, RETRY_AFTER_MS * 2 ** (progress.refusals - 1))
  }

  /**
   * @param vm - id of a VM that no longer exists
   * @param now - time of the injected clock, in milliseconds
   */
  markGone (vm: string, now: number): void {
    this.setPhase(vm, 'gone', now)
  }

  /**
   * @param vm - id of a VM that was gone and is listed again
   * @param now - time of the injected clock, in milliseconds
   */
  markBack (vm: string, now: number): void {
    if (this.progressOf.get(vm)?.phase === 'gone') this.setPhase(vm, 'waiting', now)
  }

  /**
   * @param vm - id of a VM
   * @param now - time of the injected clock, in milliseconds
   * @returns its phase, since when, and the reason of a refusal after which its request is not repeated yet; undefined if
   * the wave does not name it
   */
  stateOf (vm: string, now: number): { phase: VmPhase, forMs: number, refusal: string | undefined } | undefined {
    const progress = this.progressOf.get(vm)
    if (progress === undefined) return undefined
    return { phase: progress.phase, forMs: Math.round(now - progress.since), refusal: now < progress.retryAt ? progress.refusal : undefined }
  }

  private setPhase (vm: string, phase: VmPhase, now: number): void {
    const progress = this.progressOf.get(vm)
    if (progress === undefined || progress.phase === phase) return
    progress.phase = phase
    progress.since = now
    progress.heldBackAt = undefined
    if (phase === 'waiting') progress.unansweredAt = undefined
  }
}

function isLately (at: number | undefined, now: number): boolean {
  return at !== undefined && now - at <= LATE_REQUEST_MS
}
