import type { EndedRun } from '@wisteriaslip/jobs.model'
import type { Incarnation } from './worker-machine.ts'

/** A run as its worker saw it; times are virtual, in milliseconds. */
interface PastRun {
  readonly task: string
  readonly attempt: number
  readonly worker: Incarnation
  readonly token: number
  readonly startedAt: number
  /** When it ended, or its worker crashed; infinite while it runs. */
  endedAt: number
  how?: EndedRun['how'] | 'crashed'
  /** A leader has said that it knows of the end, before the worker's lease expired. */
  noted: boolean
  lapsed: boolean
}

/** All runs on all workers, as the workers saw them. */
export class RunHistory {
  private readonly runs: PastRun[] = []
  private readonly now: () => number

  /** @param now - virtual time in milliseconds */
  constructor (now: () => number) {
    this.now = now
  }

  /** Notes the start of a run under a fencing token. */
  start (worker: Incarnation, run: { task: string, attempt: number }): void {
    this.runs.push({ ...run, worker, token: worker.token, startedAt: this.now(), endedAt: Infinity, noted: false, lapsed: false })
  }

  /** Notes the end of a run. */
  end (worker: Incarnation, ended: { task: string, attempt: number, how: EndedRun['how'] }): void {
    for (const run of this.of(worker)) if (run.endedAt === Infinity && run.task === ended.task && run.attempt === ended.attempt) Object.assign(run, { endedAt: this.now(), how: ended.how })
  }

  /** Notes that a leader knows of ends. */
  note (worker: Incarnation, ends: readonly EndedRun[]): void {
    for (const run of this.of(worker)) if (!run.lapsed && ends.some(({ task, attempt }) => task === run.task && attempt === run.attempt)) run.noted = true
  }

  /** Notes that the lease of a worker has expired: ends that no leader knows by now count no more. */
  lapse (worker: Incarnation): void {
    for (const run of this.of(worker)) if (run.endedAt !== Infinity && !run.noted) run.lapsed = true
  }

  /** Notes that a worker has crashed, and its runs with it. */
  crash (worker: Incarnation): void {
    for (const run of this.of(worker)) if (run.endedAt === Infinity) Object.assign(run, { endedAt: this.now(), how: 'crashed' })
  }

  /** @returns when the first run of a task began; undefined if it has had none */
  firstStartOf (task: string): number | undefined {
    return this.runs.find(run => run.task === task)?.startedAt
  }

  /** @returns begin and end of the latest run of a task, infinite while it runs; undefined if it has had none */
  lastRunOf (task: string): { readonly startedAt: number, readonly endedAt: number } | undefined {
    return this.runs.findLast(run => run.task === task)
  }

  /** @returns descriptions of all runs of a task */
  runsOf (task: string): string[] {
    return this.runs.filter(run => run.task === task).map(describe)
  }

  /** @returns the starts of tasks that ran elsewhere on a worker that was up, or had ended `done` to the knowledge of a leader */
  violations (): string[] {
    return this.runs.flatMap((run, number) => this.runs.slice(0, number).filter(earlier => isTwice(earlier, run)).map(earlier => `${describe(run)} after ${describe(earlier)}`))
  }

  private of (worker: Incarnation): PastRun[] {
    return this.runs.filter(run => run.worker === worker)
  }
}

function isTwice (earlier: PastRun, run: PastRun): boolean {
  return earlier.task === run.task && (earlier.endedAt > run.startedAt || (earlier.how === 'done' && earlier.noted))
}

function describe ({ task, attempt, worker, token, startedAt, endedAt, how, noted }: PastRun): string {
  return `${task} run ${attempt} on ${worker.registration.id} (${worker.registration.vm}) under token ${token}, ${Math.round(startedAt)} to ${Math.round(endedAt)} ms ${how ?? 'open'}${noted ? ' noted' : ''}`
}
