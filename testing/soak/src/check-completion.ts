import type { SubmittedJob } from './callers.ts'
import type { Violation } from './check.ts'
import { countUndisturbedMs, isUndisturbed, MAX_WAIT_MS, RESTART_MS, type Seen } from './check-waits.ts'
import type { RunRecord } from './run-log.ts'
import { formatSeconds, partsOf, STEP_MS, type Span } from './spans.ts'
import { ROOM_FOR_RUNS, WorkerRoom } from './worker-room.ts'

/** A job may wait while its service has at least this share of its cores in use. */
const BUSY_SHARE = 0.5
/** Waits are looked for in so much time at the end of a play, without that in which something is disturbed. */
const LOOK_BACK_MS = 10_000
/** An end that a worker lists must have reached a leader within this time. */
const MAX_NOTE_MS = 3_000
/** A job in any other state has nothing to wait for, so that it is shown wrongly unless it is completed or has failed. */
const OPEN_STATES: ReadonlyArray<string | undefined> = ['queued', 'running']

/**
 * Checks at the end of a play what became of accepted jobs, and how they are shown. A job that is not known, has no answer, or is
 * shown as cancelled, or as failed or completed without cause, breaks the promise, whatever runs. A job that lasts must run, but for 9 s
 * after a run, without the time in which something is disturbed. Any
 * other one must be completed, or have failed as often as it may. One that still has tasks to do must not have had nothing running for 3 s, with room for a task twice
 * over and under half of the service's cores in use; nor with that room while nothing but tasks that last ran in the service: these
 * may use over half of workers that a drain has withdrawn, and go on for ever. A task is done once a leader has taken note of its end,
 * or must have, before the state was asked for: without that its worker's loss, or a lapse of its lease, makes it due again.
 * @param seen - what the play has shown
 * @param attempts - how often a task is tried
 * @returns all violations
 */
export function checkCompletion (seen: Seen, attempts: number): Violation[] {
  const room = new WorkerRoom(seen)
  const runsByTask = new Map<string, RunRecord[]>()
  for (const run of seen.runs) runsByTask.set(run.task, [...runsByTask.get(run.task) ?? [], run])
  return seen.jobs.filter(({ accepted, cancelled }) => accepted && !cancelled).flatMap(job => {
    const tasks = Array.from({ length: job.tasks }, (_, index) => `${job.id}.0.0.${index}`)
    return checkJob(job, tasks.map(task => ({ task, runs: runsByTask.get(task) ?? [] })), { seen, room, attempts })
  })
}

interface TaskRuns { readonly task: string, readonly runs: readonly RunRecord[] }
interface Context { readonly seen: Seen, readonly room: WorkerRoom, readonly attempts: number }

function checkJob (job: SubmittedJob, tasks: readonly TaskRuns[], { seen, room, attempts }: Context): Violation[] {
  const lost = ({ task, runs }: TaskRuns, details = ''): Violation => ({ rule: 'lost', task, runs, details: `its job is ${job.state ?? 'without an answer'}${details}` })
  const lasts = job.plan.runMs === 0
  const undone = tasks.filter(task => countEnded(task, 'done') === 0)
  const stopped = tasks.filter(task => !isRunning(task) && mustRunAgain(job, task, seen))
  if (lasts && stopped.length > 0) return stopped.map(task => lost(task))
  if (job.state === 'completed') return undone.map(task => lost(task))
  const first = (undone[0] ?? tasks[0]) as TaskRuns
  if (job.state === 'failed') return tasks.some(task => countEnded(task, 'failed') >= attempts) ? [] : [first, ...undone.slice(1)].map(task => lost(task))
  if (!OPEN_STATES.includes(job.state)) return [lost(first)]
  if (lasts) return []
  const due = tasks.filter(({ runs }) => !runs.some(run => isNoted(run, job.askedAt ?? seen.until, seen)))
  if (due.length === 0) return tasks.some(isRunning) ? [] : [{ ...lost(first), runs: tasks.flatMap(({ runs }) => runs) }]
  const wait = findWait(job, tasks, seen, room)
  return wait === undefined ? [] : [lost(due[0] ?? first, `, nothing of it runs from ${formatSeconds(wait.from)} to ${formatSeconds(wait.to)} in ${job.service}, with room on ${room.describe(job, wait.from)} and ${Math.round(room.usedShare(job.service, wait.from) * 100)}% of the cores in use`)]
}

/** @returns a time in which a job had nothing running although its service had room for it, if that was too long without what was disturbed */
function findWait (job: SubmittedJob, tasks: readonly TaskRuns[], seen: Seen, room: WorkerRoom): Span | undefined {
  const runs = tasks.flatMap(({ runs }) => runs)
  const to = job.askedAt ?? seen.until
  const span = { from: Math.max(job.acceptedAt ?? 0, startOfTail(seen, to)), to }
  const waits = partsOf(span, at => !runs.some(run => run.startedAt <= at && at < (run.endedAt ?? Infinity)) && mustStart(job, at, room))
  return waits.find(wait => countUndisturbedMs(seen, wait) >= MAX_WAIT_MS)
}

/** @returns where the last time begins in which nothing is disturbed for as long as waits are looked for, or the time without traffic and faults */
function startOfTail (seen: Seen, to: number): number {
  let from = to
  for (let ms = 0; from > seen.quietFrom && ms < LOOK_BACK_MS; from -= STEP_MS) if (isUndisturbed(seen, from)) ms += STEP_MS
  return from
}

/** @returns whether a task that lasts and has no run has been without one for so long that nothing excuses it */
function mustRunAgain ({ acceptedAt = 0 }: SubmittedJob, { runs }: TaskRuns, seen: Seen): boolean {
  const lastEnd = Math.max(...runs.map(({ endedAt = 0 }) => endedAt))
  const from = runs.length === 0 ? acceptedAt : lastEnd + RESTART_MS
  return countUndisturbedMs(seen, { from, to: seen.until }) >= MAX_WAIT_MS
}

function mustStart (job: SubmittedJob, at: number, room: WorkerRoom): boolean {
  return room.runsThatFit(job, at) >= ROOM_FOR_RUNS && (room.usedShare(job.service, at) < BUSY_SHARE || !room.isServing(job.service, at))
}

/** @returns whether a leader had taken note by some time that a run was done, or should have: its worker has listed the end for long enough */
function isNoted ({ how, worker, born, endedAt = Infinity, notedAt = Infinity, lapsedBeforeNoted }: RunRecord, at: number, { lives }: Seen): boolean {
  if (how !== 'done' || lapsedBeforeNoted === true) return false
  const life = lives.find(each => each.worker === worker && each.born === born)
  const isListed = life !== undefined && at < (life.endedAt ?? Infinity)
  return notedAt <= at || (isListed && endedAt + MAX_NOTE_MS <= at)
}

function isRunning ({ runs }: TaskRuns): boolean {
  return runs.some(run => run.endedAt === undefined)
}

function countEnded ({ runs }: TaskRuns, how: string): number {
  return runs.filter(run => run.how === how).length
}
