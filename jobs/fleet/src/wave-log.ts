import type { Logger } from '@wisteriaslip/core.logger'
import type { Metrics } from '@wisteriaslip/core.metrics'
import type { Clock, Result } from '@wisteriaslip/core.result'
import type { FleetError, Wave } from '@wisteriaslip/jobs.model'
import type { GivenBackDrain } from './drain-turns.ts'
import type { WaveTracker } from './wave-tracker.ts'

/** The progress of a wave is logged at most this often, and only when it has changed. */
const PROGRESS_INTERVAL_MS = 2_000
/** Waves whose progress is logged in one interval; those that were logged longest ago come first. */
const MAX_PROGRESS_LINES = 5
/** Ids in one line. */
const MAX_LISTED_VMS = 10
const ACCEPTED = 'accepted'

/** Options of {@link WaveLog}. */
export interface WaveLogOpts {
  /** Fencing token of the term. */
  readonly token: number
  /** @returns whether this entry still leads the fleet: gauges of a former leader are 0 */
  readonly isLeader: () => boolean
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
}

/** What is logged of one declared wave. */
interface LoggedWave {
  /** When its progress was last logged, by the injected clock. */
  progressAt: number
  /** The progress that was last logged. */
  progress: string
  /** The platform's last answer for each VM. */
  readonly answers: Map<string, string>
}

/** Logs and counts what happens to maintenance waves, in a volume that does not grow with repeated requests. */
export class WaveLog {
  private readonly opts: WaveLogOpts
  private readonly waves = new Map<number, LoggedWave>()
  private progressAt = Number.NEGATIVE_INFINITY
  private inProgress = 0
  private waitingBy: Readonly<Record<string, number>> = {}
  private readonly gauges = new Set<string>()

  /** @param opts - logger, metrics, and the term that they are about */
  constructor (opts: WaveLogOpts) {
    this.opts = opts
    opts.metrics.gauge('waves_in_progress', {}, () => opts.isLeader() ? this.inProgress : 0)
  }

  /**
   * Logs a wave that this leader begins or continues.
   * @param tracker - its progress, also that of earlier leaders
   */
  declared (tracker: WaveTracker): void {
    this.logDocument(tracker, 'wave declared')
  }

  /**
   * Logs a wave whose document has changed.
   * @param tracker - its progress
   */
  changed (tracker: WaveTracker): void {
    this.logDocument(tracker, 'wave changed')
  }

  /**
   * Logs that the document of a wave was deleted, or replaced by that of a new wave.
   * @param wave - the wave as last declared
   */
  withdrawn ({ number, revision }: Wave): void {
    this.waves.delete(number)
    this.opts.logger.info({ wave: number, revision }, 'wave withdrawn')
  }

  /**
   * Counts an answer of the platform, and logs it unless it repeats the previous answer for this VM.
   * @param wave - number of the wave
   * @param vm - id of the VM whose maintenance was requested
   * @param response - the platform's response
   */
  answered (wave: number, vm: string, response: Result<void, FleetError>): void {
    const answer = answerOf(response)
    this.opts.metrics.count('maintenance_requests_total', { answer })
    const answers = this.logged(wave).answers
    if (answers.get(vm) === answer) return
    answers.set(vm, answer)
    const error = response.ok ? {} : { error: response.error }
    this.opts.logger.info({ wave, vm, token: this.opts.token, answer, ...error }, 'maintenance requested')
  }

  /**
   * Logs that a VM of a wave has left for good.
   * @param wave - number of the wave
   * @param vm - id of the VM
   * @param missingMs - for how long the lists have left it out
   */
  gone (wave: number, vm: string, missingMs: number | undefined): void {
    this.opts.logger.info({ wave, vm, missingMs }, 'VM of a wave is gone')
  }

  /** @param drain - a drain that could not end, and is tried again later */
  gaveWay (drain: GivenBackDrain): void {
    this.opts.metrics.count('drains_given_back_total', {})
    this.opts.logger.info({ ...drain, token: this.opts.token }, 'drain gave way')
  }

  /**
   * Logs that a wave was reported to operators as completed.
   * @param tracker - its progress
   */
  completed (tracker: WaveTracker): void {
    const gone = tracker.inPhase('gone')
    this.opts.logger.info({
      wave: tracker.wave.number,
      token: this.opts.token,
      revision: tracker.wave.revision,
      begun: tracker.inPhase('begun').length,
      gone: gone.length,
      goneVms: gone.slice(0, MAX_LISTED_VMS),
      of: tracker.size(),
      lateMs: Math.max(0, Math.round(this.opts.clock.now() - tracker.endsAt))
    }, 'wave completed')
  }

  /**
   * Logs the progress of waves, and updates the gauges, at most once in an interval.
   * @param waves - the waves that have not been reported as completed
   * @param waits - returns the number of a wave's VMs that have not begun, by reason
   */
  progress (waves: readonly WaveTracker[], waits: (wave: WaveTracker) => Record<string, number>): void {
    const now = this.opts.clock.now()
    if (now - this.progressAt < PROGRESS_INTERVAL_MS) return
    this.progressAt = now
    const summaries = waves.map(wave => ({ wave, waits: waits(wave) }))
    this.inProgress = waves.length
    this.updateWaiting(summaries.map(summary => summary.waits))
    const changed = summaries.filter(({ wave, waits }) => this.logged(wave.wave.number).progress !== JSON.stringify(waits))
    changed.sort((a, b) => this.logged(a.wave.wave.number).progressAt - this.logged(b.wave.wave.number).progressAt)
    for (const summary of changed.slice(0, MAX_PROGRESS_LINES)) this.logProgress(summary.wave, summary.waits, now)
  }

  private logProgress (tracker: WaveTracker, waits: Record<string, number>, now: number): void {
    const logged = this.logged(tracker.wave.number)
    logged.progressAt = now
    logged.progress = JSON.stringify(waits)
    this.opts.logger.info({
      wave: tracker.wave.number,
      begun: tracker.inPhase('begun').length,
      gone: tracker.inPhase('gone').length,
      of: tracker.size(),
      endsInMs: Math.round(tracker.endsAt - now),
      waits
    }, 'wave in progress')
  }

  private logDocument (tracker: WaveTracker, message: string): void {
    const { number, cap, durationMs, revision } = tracker.wave
    this.waves.delete(number)
    const begun = tracker.inPhase('begun').length
    const gone = tracker.inPhase('gone').length
    this.opts.logger.info({ wave: number, vms: tracker.size(), cap, durationMs, revision, begun, gone }, message)
  }

  private updateWaiting (waits: ReadonlyArray<Record<string, number>>): void {
    this.waitingBy = sumCounts(waits)
    for (const reason of Object.keys(this.waitingBy)) this.registerGauge(reason)
  }

  private registerGauge (reason: string): void {
    if (this.gauges.has(reason)) return
    this.gauges.add(reason)
    this.opts.metrics.gauge('wave_vms_waiting', { reason }, () => this.opts.isLeader() ? this.waitingBy[reason] ?? 0 : 0)
  }

  private logged (wave: number): LoggedWave {
    const existing = this.waves.get(wave)
    if (existing !== undefined) return existing
    const created: LoggedWave = { progressAt: Number.NEGATIVE_INFINITY, progress: '', answers: new Map() }
    this.waves.set(wave, created)
    return created
  }
}

function answerOf (response: Result<void, FleetError>): string {
  if (response.ok) return ACCEPTED
  return response.error.kind === 'refused' ? response.error.reason : 'unknown'
}

function sumCounts (counts: ReadonlyArray<Record<string, number>>): Record<string, number> {
  const sum: Record<string, number> = {}
  for (const each of counts) for (const [name, count] of Object.entries(each)) sum[name] = (sum[name] ?? 0) + count
  return sum
}
