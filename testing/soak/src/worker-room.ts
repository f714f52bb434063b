import { AccountUse } from './account-use.ts'
import type { SubmittedJob } from './callers.ts'
import type { RunRecord, Size, WorkerLife } from './run-log.ts'
import type { TaskPlan } from './worker.ts'

/** The workers' room must be enough for as many runs of a task, or it may wait. */
export const ROOM_FOR_RUNS = 2

/** Room of workers, by what ran on them. */
export class WorkerRoom {
  private readonly lives: readonly WorkerLife[]
  private readonly accounts: AccountUse
  private readonly runs = new Map<string, Array<{ readonly run: RunRecord, readonly plan: TaskPlan }>>()

  /** @param seen - the workers, all that ran on them, and the jobs */
  constructor ({ lives, runs, jobs }: { lives: readonly WorkerLife[], runs: readonly RunRecord[], jobs: readonly SubmittedJob[] }) {
    this.lives = lives
    this.accounts = new AccountUse(runs, jobs)
    for (const run of runs) {
      const ofLife = this.runs.get(lifeKey(run)) ?? []
      ofLife.push({ run, plan: JSON.parse(run.spec) as TaskPlan })
      this.runs.set(lifeKey(run), ofLife)
    }
  }

  /** @returns how many more runs of the job's tasks fit on the workers that are up and have not announced that they leave, and into its account's quota */
  runsThatFit (job: SubmittedJob, at: number): number {
    return Math.min(this.accounts.runsThatFit(job, at), this.fitting(job, at).reduce((sum, { count }) => sum + count, 0))
  }

  /** @returns which workers they fit on */
  describe (job: SubmittedJob, at: number): string {
    return this.fitting(job, at).map(({ worker }) => worker).join(', ')
  }

  /** @returns share of the cores in use, of all workers of a service or of those only that do not leave, whichever is less */
  usedShare (service: string, at: number): number {
    const up = this.up(service, at)
    return Math.min(this.shareOf(up, at), this.shareOf(up.filter(life => stays(life, at)), at))
  }

  /** @returns whether a task that ends by itself runs in a service */
  isServing (service: string, at: number): boolean {
    return this.up(service, at).some(life => this.running(life, at).some(({ runMs }) => runMs > 0))
  }

  private shareOf (lives: readonly WorkerLife[], at: number): number {
    const cores = lives.reduce((sum, { capacity }) => sum + capacity.cpu, 0)
    return cores === 0 ? 1 : lives.reduce((sum, life) => sum + this.used(life, 'cpu', at), 0) / cores
  }

  private up (service: string, at: number): WorkerLife[] {
    return this.lives.filter(life => life.service === service && life.startedAt <= at && at < (life.endedAt ?? Infinity))
  }

  private fitting ({ service, plan }: SubmittedJob, at: number): Array<{ worker: string, count: number }> {
    const open = this.up(service, at).filter(life => stays(life, at))
    return open.map(life => ({ worker: life.worker, count: this.countFitting(life, plan, at) })).filter(({ count }) => count > 0)
  }

  private countFitting (life: WorkerLife, need: Size, at: number): number {
    const free = (field: keyof Size): number => life.capacity[field] - this.used(life, field, at)
    return Math.max(0, Math.floor(Math.min(free('cpu') / need.cpu, free('memMb') / need.memMb)))
  }

  private used (life: WorkerLife, field: keyof Size, at: number): number {
    return this.running(life, at).reduce((sum, plan) => sum + plan[field], 0)
  }

  private running (life: WorkerLife, at: number): TaskPlan[] {
    const runs = this.runs.get(lifeKey(life)) ?? []
    return runs.filter(({ run }) => run.startedAt <= at && at < (run.endedAt ?? Infinity)).map(({ plan }) => plan)
  }
}

function stays ({ drainingAt }: WorkerLife, at: number): boolean {
  return at < (drainingAt ?? Infinity)
}

function lifeKey ({ worker, born }: { worker: string, born: number }): string {
  return `${worker}@${born}`
}
