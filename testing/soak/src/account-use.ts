import type { Account, SubmittedJob } from './callers.ts'
import type { RunRecord, Size } from './run-log.ts'
import type { TaskPlan } from './worker.ts'

const FIELDS = ['cpu', 'memMb'] as const

/** What client accounts use of their quotas, by what their workers ran, whatever service had it. */
export class AccountUse {
  private readonly runs = new Map<string, Array<{ readonly run: RunRecord, readonly plan: TaskPlan }>>()
  private readonly accounts = new Map<string, Account>()

  /**
   * @param runs - all runs
   * @param jobs - all jobs
   */
  constructor (runs: readonly RunRecord[], jobs: readonly SubmittedJob[]) {
    const accountOf = new Map(jobs.flatMap(({ id, account }) => account === undefined ? [] : [[id, account]]))
    for (const account of accountOf.values()) this.accounts.set(account.name, account)
    for (const run of runs) {
      const account = accountOf.get(run.task.slice(0, run.task.indexOf('.')))
      if (account !== undefined) this.runs.set(account.name, [...this.runs.get(account.name) ?? [], { run, plan: JSON.parse(run.spec) as TaskPlan }])
    }
  }

  /** @returns how many more runs of the job's tasks fit into the quota of its account; infinite without one */
  runsThatFit ({ account, plan }: SubmittedJob, at: number): number {
    if (account === undefined) return Infinity
    return Math.max(0, Math.floor(Math.min(...FIELDS.map(field => (account.quota[field] - this.used(account.name, field, at)) / plan[field]))))
  }

  /** @returns the runs at whose start an account was over its quota */
  startsOverQuota (): RunRecord[] {
    return [...this.accounts.values()].flatMap(({ name, quota }) => (this.runs.get(name) ?? [])
      .filter(({ run }) => FIELDS.some(field => this.used(name, field, run.startedAt) > quota[field]))
      .map(({ run }) => run))
  }

  private used (account: string, field: keyof Size, at: number): number {
    const running = (this.runs.get(account) ?? []).filter(({ run }) => run.startedAt <= at && at < (run.endedAt ?? Infinity))
    return running.reduce((sum, { plan }) => sum + plan[field], 0)
  }
}
