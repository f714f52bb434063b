import type { SubmittedJob } from './callers.ts'
import type { RunRecord } from './run-log.ts'

/** A promise that was broken, with the runs that show it. */
export interface Violation {
  readonly rule: 'twice at once' | 'twice after its end' | 'more attempts than allowed' | 'unasked' | 'refused' | 'lost' | 'too many in maintenance' | 'wave completed early'
  readonly task: string
  readonly runs: readonly RunRecord[]
  readonly details: string
}

/**
 * Checks what workers ran against what callers submitted.
 * @param runs - all runs
 * @param jobs - all jobs, with the states that callers saw last
 * @param opts - attempts that a task has; whether all jobs have had time to be completed
 * @returns all violations, empty if every promise held
 */
export function checkRuns (runs: readonly RunRecord[], jobs: readonly SubmittedJob[], opts: { attempts: number, checkCompletion: boolean }): Violation[] {
  const jobsById = new Map(jobs.map(job => [job.id, job]))
  const runsByTask = new Map<string, RunRecord[]>()
  for (const run of runs) runsByTask.set(run.task, [...runsByTask.get(run.task) ?? [], run])
  return [
    ...[...runsByTask].flatMap(([task, ofTask]) => {
      const job = jobsById.get(jobOf(task))
      return [...checkOnce(task, ofTask), ...checkAttempts(task, ofTask, job, opts.attempts), ...checkOrigin(task, ofTask, job)]
    }),
    ...(opts.checkCompletion ? jobs : []).flatMap(job => checkCompleted(job, runsByTask, opts.attempts))
  ]
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
      else if (earlier.how === 'done' && earlier.notedAt !== undefined && earlier.notedAfterLapse !== true) violations.push({ ...pair, rule: 'twice after its end', details: '' })
    }
  }
  return violations
}

function checkAttempts (task: string, runs: readonly RunRecord[], job: SubmittedJob | undefined, attempts: number): Violation[] {
  if (job?.plan.runMs === 0) return []
  return runs.flatMap(run => {
    const failed = runs.filter(each => each.how === 'failed' && each.notedAt !== undefined && each.notedAfterLapse !== true && (each.endedAt ?? Infinity) <= run.startedAt)
    return failed.length < attempts ? [] : [{ rule: 'more attempts than allowed' as const, task, runs: [...failed, run], details: '' }]
  })
}

function checkOrigin (task: string, runs: readonly RunRecord[], job: SubmittedJob | undefined): Violation[] {
  const spec = JSON.stringify(job?.plan)
  if (job === undefined || runs.some(run => run.spec !== spec)) return [{ rule: 'unasked', task, runs, details: '' }]
  return job.refused && !job.accepted ? [{ rule: 'refused', task, runs, details: '' }] : []
}

/** A lasting job must run; any other one must be completed, have failed as often as it may, or be at work. */
function checkCompleted (job: SubmittedJob, runsByTask: ReadonlyMap<string, RunRecord[]>, attempts: number): Violation[] {
  if (!job.accepted || job.cancelled) return []
  const tasks = Array.from({ length: job.tasks }, (_, index) => `${job.id}.0.0.${index}`)
  const runsOf = (task: string): readonly RunRecord[] => runsByTask.get(task) ?? []
  const countEnded = (task: string, how: string): number => runsOf(task).filter(run => run.how === how).length
  const isRunning = (task: string): boolean => runsOf(task).some(run => run.endedAt === undefined)
  const lost = (task: string): Violation => ({ rule: 'lost', task, runs: runsOf(task), details: `its job is ${job.state ?? 'without an answer'}` })
  if (job.plan.runMs === 0) return tasks.filter(task => !isRunning(task)).map(lost)
  const undone = tasks.filter(task => countEnded(task, 'done') === 0)
  if (job.state === 'completed') return undone.map(lost)
  if (job.state === 'failed') return tasks.some(task => countEnded(task, 'failed') >= attempts) ? [] : undone.map(lost)
  return job.state !== 'none' && tasks.some(isRunning) ? [] : [lost(undone[0] ?? `${job.id}.0.0.0`)]
}
