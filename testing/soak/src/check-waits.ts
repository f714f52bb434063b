import type { SubmittedJob } from './callers.ts'
import type { Violation } from './check.ts'
import type { Disturbance } from './fault-record.ts'
import { findGaps, type RunGap } from './run-gaps.ts'
import type { RunRecord, TermRecord, WorkerLife } from './run-log.ts'
import { formatSeconds, longestPart, STEP_MS, type Span } from './spans.ts'
import { ROOM_FOR_RUNS, WorkerRoom } from './worker-room.ts'

/** A task may be without a run for this long, if there is room for it and nothing is disturbed. */
export const MAX_WAIT_MS = 3_000
/** Time after a run in which a task that lasts is not expected to run again. */
export const RESTART_MS = 6_000
/** Nothing was disturbed for this long before the wait. */
const CALM_BEFORE_MS = 4_000

/** What a play has shown. */
export interface Seen {
  readonly runs: readonly RunRecord[]
  readonly lives: readonly WorkerLife[]
  /** Terms of all leaders. */
  readonly terms: readonly TermRecord[]
  readonly jobs: readonly SubmittedJob[]
  readonly disturbances: readonly Disturbance[]
  /** When traffic and faults had ended, in milliseconds of the run log. */
  readonly quietFrom: number
  /** End of the play in milliseconds of the run log. */
  readonly until: number
}

/** A time in which a task has no run, and nothing excuses that. */
export interface Wait {
  readonly job: SubmittedJob
  readonly task: string
  readonly from: number
  readonly to: number
  /** How many more runs of it fit on workers, and on which, at its beginning. */
  readonly room: string
}

/**
 * Finds times in which tasks that last wait in calm times while workers have room for them, by what the workers themselves ran.
 * @param seen - runs and workers, jobs, and what was disturbed
 * @returns for each time without a run the longest part that nothing excuses, however short
 */
export function findWaits (seen: Seen): Wait[] {
  const room = new WorkerRoom(seen)
  return findGaps(seen).flatMap(gap => {
    const { job, task } = gap
    const mayWait = (at: number): boolean => isCalm(seen, at) && room.runsThatFit(job, at) >= ROOM_FOR_RUNS
    const part = longestPart(owedSpan(gap), mayWait)
    return part === undefined ? [] : [{ job, task, ...part, room: `for ${room.runsThatFit(job, part.from)} on ${room.describe(job, part.from)}` }]
  })
}

/** @returns the part of a gap in which the task should run */
function owedSpan ({ from, to, runsBefore, job }: RunGap): Span {
  return runsBefore === 0 ? { from, to } : { from: Math.max(job.acceptedAt ?? from, from + RESTART_MS), to }
}

/**
 * @param seen - what a play has shown
 * @returns a violation for each wait that is too long
 */
export function checkWaits (seen: Seen): Violation[] {
  return findWaits(seen).filter(({ from, to }) => to - from >= MAX_WAIT_MS).map(({ job, task, from, to, room }) => ({
    rule: 'lost',
    task,
    runs: seen.runs.filter(run => run.task === task),
    details: `waits in ${job.service} from ${formatSeconds(from)} to ${formatSeconds(to)}, calm, with room ${room}`
  }))
}

/** @returns for how many milliseconds of a play waits counted */
export function countCalmMs (seen: Seen): number {
  return countMs({ from: 0, to: seen.until }, at => isCalm(seen, at))
}

/** @returns for how many milliseconds of a span nothing was disturbed */
export function countUndisturbedMs (seen: Seen, span: Span): number {
  return countMs(span, at => isUndisturbed(seen, at))
}

/** @returns whether nothing is disturbed at a time in milliseconds of the run log */
export function isUndisturbed ({ disturbances }: Seen, at: number): boolean {
  return disturbances.every(({ from, to = Infinity }) => from > at || to < at)
}

function isCalm ({ disturbances }: Seen, at: number): boolean {
  return disturbances.every(({ from, to = Infinity }) => from > at || to < at - CALM_BEFORE_MS)
}

function countMs ({ from, to }: Span, holds: (at: number) => boolean): number {
  let ms = 0
  for (let at = from; at < to; at += STEP_MS) if (holds(at)) ms += STEP_MS
  return ms
}
