import type { Vm, Wave } from '@wisteriaslip/jobs.model'

/** Maintenance is spread over this share of the time that the wave has. */
const PACE_SHARE = 0.85
/** An order whose fate is unknown is given again after this long; one that was carried out is not carried out twice. */
const ORDER_AGAIN_MS = 2_500

/** Phases of a VM in a wave. */
type Phase = 'waiting' | 'sent' | 'down' | 'done' | 'excluded'

interface Progress {
  phase: Phase
  /** When the phase began, by the injected clock. */
  since: number
  seenDown: boolean
}

/** How far a wave has come, as its leader knows it. */
export class WaveTracker {
  private readonly wave: Wave
  private readonly startedAt: number
  private readonly maintenanceMs: number
  private readonly progressOf = new Map<string, Progress>()

  /**
   * @param wave - as declared
   * @param opts - time of the injected clock, how long a maintenance takes in milliseconds; from leaders before: VMs that have begun theirs, and for how long the wave goes on
   */
  constructor (wave: Wave, opts: { now: number, maintenanceMs: number, begun?: readonly string[], elapsedMs?: number }) {
    this.wave = wave
    this.startedAt = opts.now - (opts.elapsedMs ?? 0)
    this.maintenanceMs = opts.maintenanceMs
    for (const vm of wave.vms) this.progressOf.set(vm, { phase: 'waiting', since: opts.now, seenDown: false })
    for (const vm of opts.begun ?? []) this.enter(vm, 'down', opts.now)
  }

  /**
   * @param vms - the platform's list
   * @param now - of the injected clock
   */
  observe (vms: readonly Vm[], now: number): void {
    const stateOf = new Map(vms.map(vm => [vm.id, vm.state]))
    for (const [id, progress] of this.progressOf) {
      const state = stateOf.get(id)
      if (state === 'maintenance') {
        progress.seenDown = true
        if (progress.phase !== 'down') this.enter(id, 'down', now)
      }
      if (progress.phase === 'sent' && now - progress.since > ORDER_AGAIN_MS) this.enter(id, 'waiting', now)
      if (progress.phase !== 'down' || state === 'maintenance') continue
      if (progress.seenDown || now - progress.since > 2 * this.maintenanceMs) this.enter(id, 'done', now)
    }
  }

  /** @returns VMs of the wave that are or may be down for it */
  down (): number {
    return this.count('sent') + this.count('down')
  }

  /**
   * Chooses VMs to be emptied and maintained next, no more at once than the wave allows.
   * Those on which the least runs come first.
   * @param vms - the platform's list
   * @param opts - time of the injected clock, and how much runs on a VM
   * @returns their ids
   */
  chooseNext (vms: readonly Vm[], opts: { now: number, runs: (vm: string) => number }): string[] {
    const up = new Set(vms.filter(vm => vm.state === 'up').map(vm => vm.id))
    const waiting = [...this.progressOf].filter(([id, { phase }]) => phase === 'waiting' && up.has(id)).map(([id]) => id)
    waiting.sort((a, b) => opts.runs(a) - opts.runs(b))
    const total = this.progressOf.size
    const elapsed = (opts.now - this.startedAt) / (this.wave.durationMs * PACE_SHARE)
    const due = Math.ceil(elapsed * total) + this.wave.cap - (total - waiting.length)
    const room = this.wave.cap - this.down()
    return waiting.slice(0, Math.max(0, Math.min(room, due)))
  }

  /**
   * @param now - of the injected clock
   * @returns milliseconds since the wave was first seen
   */
  elapsedMs (now: number): number {
    return Math.round(now - this.startedAt)
  }

  /** @returns VMs that have begun their maintenance */
  begun (): string[] {
    return [...this.progressOf].filter(([, { phase }]) => phase === 'down' || phase === 'done').map(([id]) => id)
  }

  /**
   * @param vms - the platform's list
   * @returns whether every VM that is still there has begun its maintenance
   */
  isDone (vms: readonly Vm[]): boolean {
    const there = new Set(vms.map(vm => vm.id))
    return [...this.progressOf].every(([id, { phase }]) => phase === 'done' || phase === 'down' || phase === 'excluded' || !there.has(id))
  }

  /**
   * @param now - of the injected clock
   * @returns the phase of each VM, and for how long
   */
  explain (now: number): { cap: number, down: number, vms: Record<string, { phase: string, forMs: number }> } {
    const vms = Object.fromEntries([...this.progressOf].map(([id, { phase, since }]) => [id, { phase, forMs: Math.round(now - since) }]))
    return { cap: this.wave.cap, down: this.down(), vms }
  }

  /** @param vm - for which the order leaves now */
  markSent (vm: string, now: number): void {
    this.enter(vm, 'sent', now)
  }

  /** @param vm - that went down, or had gone down before */
  markAccepted (vm: string, now: number): void {
    this.enter(vm, 'down', now)
  }

  /**
   * @param vm - for which the order was refused
   * @param reason - the platform's
   */
  markRefused (vm: string, reason: string, now: number): void {
    this.enter(vm, reason === 'wave' || reason === 'invalid' ? 'excluded' : 'waiting', now)
  }

  private enter (vm: string, phase: Phase, now: number): void {
    const progress = this.progressOf.get(vm)
    if (progress === undefined) return
    progress.phase = phase
    progress.since = now
    if (phase === 'waiting') progress.seenDown = false
  }

  private count (phase: Phase): number {
    return [...this.progressOf.values()].filter(progress => progress.phase === phase).length
  }
}
