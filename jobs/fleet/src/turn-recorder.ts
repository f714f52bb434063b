import type { Clock } from '@wisteriaslip/core.result'
import type { DrainTurns } from './drain-turns.ts'
import type { TurnTimes, WaveRecord } from './ports.ts'
import type { WaveRecords } from './wave-records.ts'
import type { WaveTracker } from './wave-tracker.ts'

/** The turns of drains are recorded at this interval while they last. */
const INTERVAL_MS = 1_000
/** Other records may wait for a record of turns, so that slow ones are written less often: after this many times what one took. */
const SLOWDOWN = 4

/** Options of {@link TurnRecorder}. */
export interface TurnRecorderOpts {
  readonly turns: DrainTurns
  readonly records: WaveRecords
  readonly clock: Clock
}

/** Records for the next leader of the fleet how far the turns of drains are. No request and no completion depends on it. */
export class TurnRecorder {
  private readonly opts: TurnRecorderOpts
  private times: TurnTimes = { drains: [], rests: [] }
  private dueAt = Number.NEGATIVE_INFINITY

  /** @param opts - turns, records and clock */
  constructor (opts: TurnRecorderOpts) {
    this.opts = opts
  }

  /**
   * @param wave - a wave
   * @returns the turns of its VMs that wait for their maintenance, as they were when they were last due; undefined if there are none
   */
  of (wave: WaveTracker): TurnTimes | undefined {
    const waiting = new Set(wave.inPhase('waiting'))
    const drains = this.times.drains.filter(({ vm }) => waiting.has(vm))
    const rests = this.times.rests.filter(({ vm }) => waiting.has(vm))
    return drains.length + rests.length > 0 ? { drains, rests } : undefined
  }

  /**
   * Records the turns, if that is due.
   * @param toRecords - returns the records of all waves, with the turns as {@link of} returns them
   */
  async record (toRecords: () => ReadonlyMap<number, WaveRecord>): Promise<void> {
    const { turns, records, clock } = this.opts
    const begunAt = clock.now()
    if (begunAt < this.dueAt) return
    this.dueAt = Number.POSITIVE_INFINITY
    this.times = turns.times(begunAt)
    await records.saveTurns(toRecords()).finally(() => {
      const tookMs = clock.now() - begunAt
      this.dueAt = clock.now() + Math.max(INTERVAL_MS - tookMs, SLOWDOWN * tookMs)
    })
  }
}
