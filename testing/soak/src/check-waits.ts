import type { SubmittedJob } from './callers.ts'
import type { Violation } from './check.ts'
import type { Disturbance } from './fault-record.ts'
import type { RunRecord, Size, WorkerLife } from './run-log.ts'

/** A task that lasts may be without a run for this long, if there is room for it and nothing is disturbed. */
const MAX_WAIT_MS = 3_000
/** Time after a run in which a task that lasts is not expected to run again. */
const RESTART_MS = 6_000
/** Nothing was disturbed for this long before the wait. */
const CALM_BEFORE_MS = 4_000
/** The workers' room must be enough for as many runs of the task. */
const ROOM_FOR_RUNS = 2
const STEP_MS = 50

/** What a play has shown. */
export interface Seen {
  readonly runs: readonly RunRecord[]
  readonly lives: readonly WorkerLife[]
  readonly jobs: readonly SubmittedJob[]
  readonly disturbances: readonly Disturbance[]
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
  return seen.jobs.filter(job => job.plan.runMs === 0).flatMap(job => tasksOf(job).flatMap(task => {
    const mayWait = (at: number): boolean => isCalm(seen, at) && room.runsThatFit(job, at) >= ROOM_FOR_RUNS
    const gaps = gapsOf(job, seen.runs.filter(run => run.task === task), seen.until)
    return gaps.flatMap(gap => longestPart(gap, mayWait) ?? []).map(part => ({ job, task, ...part, room: `for ${room.runsThatFit(job, part.from)} on ${room.describe(job, part.from)}` }))
  }))
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
    details: `waits in ${job.service} from ${seconds(from)} to ${seconds(to)}, calm, with room ${room}`
  }))
}

function tasksOf ({ id, tasks }: SubmittedJob): string[] {
  return Array.from({ length: tasks }, (_, index) => `${id}.0.0.${index}`)
}

/** @returns for how many milliseconds of a play waits counted */
export function countCalmMs (seen: Seen): number {
  let calmMs = 0
  for (let at = 0; at < seen.until; at += STEP_MS) if (isCalm(seen, at)) calmMs += STEP_MS
  return calmMs
}

function isCalm ({ disturbances }: Seen, at: number): boolean {
  return disturbances.every(({ from, to }) => from > at || (to ?? Infinity) < at - CALM_BEFORE_MS)
}

interface Span { readonly from: number, readonly to: number }

/** @returns the times in which a task has no run and should have one */
function gapsOf (job: SubmittedJob, runs: readonly RunRecord[], until: number): Span[] {
  if (job.acceptedAt === undefined) return []
  const end = Math.min(until, job.cancelSentAt ?? Infinity)
  const gaps: Span[] = []
  let from = job.acceptedAt
  for (const run of [...runs].sort((a, b) => a.startedAt - b.startedAt)) {
    gaps.push({ from, to: Math.min(run.startedAt, end) })
    from = Math.max(from, (run.endedAt ?? Infinity) + RESTART_MS)
  }
  return [...gaps, { from, to: end }]
}

/** @returns the longest part of a span in which a condition holds, undefined if it never does */
function longestPart ({ from, to }: Span, holds: (at: number) => boolean): Span | undefined {
  let longest: Span | undefined
  let since: number | undefined
  for (let at = from; at <= to; at += STEP_MS) {
    since = holds(at) ? since ?? at : undefined
    if (since !== undefined && (longest === undefined || at - since > longest.to - longest.from)) longest = { from: since, to: at }
  }
  return longest
}

/** Room of workers, by what ran on them. */
class WorkerRoom {
  private readonly lives: readonly WorkerLife[]
  private readonly runs = new Map<string, Array<{ readonly run: RunRecord, readonly size: Size }>>()

  constructor ({ lives, runs }: Seen) {
    this.lives = lives
    for (const run of runs) {
      const ofLife = this.runs.get(lifeKey(run)) ?? []
      ofLife.push({ run, size: JSON.parse(run.spec) as Size })
      this.runs.set(lifeKey(run), ofLife)
    }
  }

  /** @returns how many more runs of the job's tasks fit on the workers that are up */
  runsThatFit (job: SubmittedJob, at: number): number {
    return this.fitting(job, at).reduce((sum, { count }) => sum + count, 0)
  }

  /** @returns which workers they fit on */
  describe (job: SubmittedJob, at: number): string {
    return this.fitting(job, at).map(({ worker }) => worker).join(', ')
  }

  private fitting ({ service, plan }: SubmittedJob, at: number): Array<{ worker: string, count: number }> {
    const up = this.lives.filter(life => life.service === service && life.startedAt <= at && at < Math.min(life.drainingAt ?? Infinity, life.endedAt ?? Infinity))
    return up.map(life => ({ worker: life.worker, count: this.countFitting(life, plan, at) })).filter(({ count }) => count > 0)
  }

  private countFitting (life: WorkerLife, need: Size, at: number): number {
    const sizes = (this.runs.get(lifeKey(life)) ?? []).filter(({ run }) => run.startedAt <= at && at < (run.endedAt ?? Infinity)).map(({ size }) => size)
    const free = (field: keyof Size): number => life.capacity[field] - sizes.reduce((sum, size) => sum + size[field], 0)
    return Math.max(0, Math.floor(Math.min(free('cpu') / need.cpu, free('memMb') / need.memMb)))
  }
}

function lifeKey ({ worker, born }: { worker: string, born: number }): string {
  return `${worker}@${born}`
}

function seconds (ms: number): string {
  return `${(ms / 1_000).toFixed(3)} s`
}
