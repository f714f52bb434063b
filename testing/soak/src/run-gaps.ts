import type { SubmittedJob } from './callers.ts'
import type { Seen } from './check-waits.ts'
import type { RunRecord } from './run-log.ts'
import type { Span } from './spans.ts'

/** A time in which a task that lasts has no run: from its acceptance or the end of its last run to its next one, or to the end of the play. */
export interface RunGap extends Span {
  readonly job: SubmittedJob
  readonly task: string
  /** How many runs of the task began before. */
  readonly runsBefore: number
  /** How many terms of its service's leaders began in this time. */
  readonly terms: number
}

/**
 * Finds the times in which tasks that last have no run, by what the workers themselves ran.
 * @param seen - runs, jobs and terms; times are in milliseconds of the run log
 * @returns all gaps of all tasks, also those that are over at once
 */
export function findGaps (seen: Pick<Seen, 'jobs' | 'runs' | 'terms' | 'until'>): RunGap[] {
  return seen.jobs.filter(isOwed).flatMap(job => tasksOf(job).flatMap(task => {
    const runs = seen.runs.filter(run => run.task === task)
    return gapsOf(job, runs, seen.until).map(gap => ({ job, task, ...gap, terms: countTerms(seen, job, gap) }))
  }))
}

/** @returns the longest of the gaps between two runs, undefined if there is none */
export function longestGap (gaps: readonly RunGap[]): RunGap | undefined {
  return gaps.filter(({ runsBefore }) => runsBefore > 0).reduce<RunGap | undefined>((longest, gap) => longest === undefined || lengthOf(gap) > lengthOf(longest) ? gap : longest, undefined)
}

/** @returns duration in milliseconds */
export function lengthOf ({ from, to }: Span): number {
  return to - from
}

function isOwed ({ plan, acceptedAt }: SubmittedJob): boolean {
  return plan.runMs === 0 && acceptedAt !== undefined
}

function tasksOf ({ id, tasks }: SubmittedJob): string[] {
  return Array.from({ length: tasks }, (_, index) => `${id}.0.0.${index}`)
}

function gapsOf ({ acceptedAt = 0, cancelSentAt = Infinity }: SubmittedJob, runs: readonly RunRecord[], until: number): Array<Span & { runsBefore: number }> {
  const sorted = [...runs].sort((a, b) => a.startedAt - b.startedAt)
  const end = Math.min(until, cancelSentAt)
  const lastEnds = sorted.map((_, index) => Math.max(...sorted.slice(0, index + 1).map(({ endedAt = Infinity }) => endedAt)))
  const starts = [acceptedAt, ...lastEnds]
  return starts.map((from, index) => ({ from, to: Math.min(sorted[index]?.startedAt ?? Infinity, end), runsBefore: index })).filter(({ from, to }) => from < to)
}

function countTerms ({ terms }: Pick<Seen, 'terms'>, { service }: SubmittedJob, { from, to }: Span): number {
  return terms.filter(({ resource, startedAt }) => resource === `service/${service}` && from < startedAt && startedAt <= to).length
}
