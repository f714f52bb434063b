import { AccountUse } from './account-use.ts'
import type { SubmittedJob } from './callers.ts'
import type { RunRecord } from './run-log.ts'

/** A promise that was broken, with the runs that show it. */
export interface Violation {
  readonly rule: 'twice at once' | 'twice after its end' | 'more attempts than allowed' | 'unasked' | 'refused' | 'lost' | 'over quota' | 'too many in maintenance' | 'wave completed early'
  readonly task: string
  readonly runs: readonly RunRecord[]
  readonly details: string
}

/**
 * Checks what workers ran against what callers submitted.
 * @param runs - all runs
 * @param jobs - all jobs
 * @param attempts - how often a task is tried
 * @returns all violations, empty if every promise held
 */
export function checkRuns (runs: readonly RunRecord[], jobs: readonly SubmittedJob[], attempts: number): Violation[] {
  const jobsById = new Map(jobs.map(job => [job.id, job]))
  const runsByTask = new Map<string, RunRecord[]>()
  for (const run of runs) runsByTask.set(run.task, [...runsByTask.get(run.task) ?? [], run])
  const overQuota = new AccountUse(runs, jobs).startsOverQuota().map((run): Violation => ({ rule: 'over quota', task: run.task, runs: [run], details: '' }))
  return [...overQuota, ...[...runsByTask].flatMap(([task, ofTask]) => {
    const job = jobsById.get(jobOf(task))
    return [...checkOnce(task, ofTask), ...checkAttempts(task, ofTask, job, attempts), ...checkOrigin(task, ofTask, job)]
  })]
}

function jobOf (task: string): string {
  return task.slice(0, task.indexOf('.'))
}

function checkOnce (task: string, runs: readonly RunRecord[]): Violation[] {
  const violations: Violation[] = []
  for (const [number, run] of runs.entries()) {
    for (const earlier of runs.slice(0, number)) {
      const pair = { task, runs: [earlier, run] }
      if (run.startedAt < (earlier.endedAt ?? Infinity)) violations.push({ ...pair, rule: 'twice at once', details: '' })
      else if (earlier.how === 'done' && earlier.notedAt !== undefined && earlier.lapsedBeforeNoted !== true) violations.push({ ...pair, rule: 'twice after its end', details: '' })
    }
  }
  return violations
}

function checkAttempts (task: string, runs: readonly RunRecord[], job: SubmittedJob | undefined, attempts: number): Violation[] {
  if (job?.plan.runMs === 0) return []
  return runs.flatMap(run => {
    const failed = runs.filter(each => each.how === 'failed' && each.notedAt !== undefined && each.lapsedBeforeNoted !== true && (each.endedAt ?? Infinity) <= run.startedAt)
    return failed.length < attempts ? [] : [{ rule: 'more attempts than allowed' as const, task, runs: [...failed, run], details: '' }]
  })
}

function checkOrigin (task: string, runs: readonly RunRecord[], job: SubmittedJob | undefined): Violation[] {
  const spec = JSON.stringify(job?.plan)
  if (job === undefined || runs.some(run => run.spec !== spec)) return [{ rule: 'unasked', task, runs, details: '' }]
  return job.refused && !job.accepted ? [{ rule: 'refused', task, runs, details: '' }] : []
}
