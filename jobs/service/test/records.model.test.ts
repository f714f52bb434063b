import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { err, ok, type Result } from '@wisteriaslip/core.result'
import { silentLogger } from '@wisteriaslip/core.logger'
import { Metrics } from '@wisteriaslip/core.metrics'
import type { Job, Queue, WorkerRegistration } from '@wisteriaslip/jobs.model'
import { Scheduler, type JobProgress } from '@wisteriaslip/jobs.scheduler'
import { JobKeys, JobRecords } from '@wisteriaslip/jobs.store'
import { plainStep } from '@wisteriaslip/testing.jobs'
import type { Change, Guard, Store, StoreError, Versioned } from '@wisteriaslip/store.client'
import { ProgressWriter } from '../src/progress-writer.ts'
import type { ServiceTermOpts } from '../src/ports.ts'

const NUM_RUNS = Number(process.env.WISTERIASLIP_RUNS ?? 3_000)
const SEED = 11
const TASK_COUNT = 4
const LEADER_KEY = 'w/leaders/s'
const ID = '00000000000000aa'
const PROGRESS_KEY = new JobKeys('w').progress('s', ID)

const limits = { longestLeaseMs: 6_000, stopMs: 400, shutdownGraceMs: 6_000, keepMs: 1e9, maintenanceMs: 2_000 }
const queue: Queue = { name: 'q', host: '', pathPrefix: '', service: 's', priority: 0, attempts: 2, stretch: 1, objectiveMs: 0, timeoutMs: 0, needsPermit: false }
const step = plainStep({ tasks: TASK_COUNT, demand: { cpu: 1, memMb: 1, accelerators: 0 } })
const job: Job = { id: ID, queue: 'q', service: 's', payload: '', steps: [step], acceptedAt: 0, acceptedUnder: 1 }
const worker: WorkerRegistration = { id: 'w', born: 1, service: 's', host: '', port: 0, zone: '', vm: 'v', draining: false, capacity: { cpu: 100, memMb: 100, accelerators: 0 }, labels: [], rack: '' }

type WriteResult = 'fine' | 'lost' | 'response-lost' | 'late'
type InjectedBug = 'none' | 'guards-ignored' | 'lost-is-durable'

/** A store whose writes can be lost, be applied without a response, or be applied later if their conditions still hold. */
class UnreliableStore {
  readonly docs = new Map<string, Versioned>()
  readonly delayedWrites: Array<() => void> = []
  readonly written: Array<{ by: number, leader: number, progress: JobProgress }> = []
  writeResult: WriteResult = 'fine'
  readsFail = false
  private revision = 0
  private readonly bug: InjectedBug

  constructor (bug: InjectedBug) {
    this.bug = bug
  }

  electLeader (): number {
    this.revision += 1
    this.docs.set(LEADER_KEY, { key: LEADER_KEY, value: {}, createRevision: this.revision, modRevision: this.revision, writeIds: [] })
    return this.revision
  }

  leader (): number {
    return this.docs.get(LEADER_KEY)?.createRevision ?? 0
  }

  async update (changes: readonly Change[], opts: { guards?: readonly Guard[] } = {}): Promise<Result<number, StoreError>> {
    const guards = opts.guards ?? []
    const apply = (): boolean => this.applyIfUnchanged(changes, guards)
    const lost = err<StoreError>({ kind: 'unavailable', code: 'STORE_UNAVAILABLE', maybeApplied: true, message: 'no response' })
    const response = this.bug === 'lost-is-durable' ? ok(this.revision) : lost
    if (this.writeResult === 'lost') return response
    if (this.writeResult === 'late') {
      this.delayedWrites.push(apply)
      return response
    }
    const applied = apply()
    if (this.writeResult === 'response-lost') return response
    return applied ? ok(this.revision) : err({ kind: 'conflict', code: 'STORE_CONFLICT', message: 'changed' })
  }

  async get (key: string): Promise<Result<Versioned | undefined, StoreError>> {
    if (this.readsFail) return err({ kind: 'unavailable', code: 'STORE_UNAVAILABLE', maybeApplied: false, message: 'no response' })
    return ok(this.docs.get(key))
  }

  private applyIfUnchanged (changes: readonly Change[], guards: readonly Guard[]): boolean {
    const guarded = this.bug === 'guards-ignored' || guards.every(guard => this.docs.get(guard.key)?.createRevision === guard.createRevision)
    if (!guarded || !changes.every(change => (this.docs.get(change.key)?.modRevision ?? 0) === (change.prior?.modRevision ?? 0))) return false
    this.revision += 1
    for (const { key, value } of changes) {
      this.docs.set(key, { key, value, createRevision: this.docs.get(key)?.createRevision ?? this.revision, modRevision: this.revision, writeIds: [] })
      this.written.push({ by: guards[0]?.createRevision ?? 0, leader: this.leader(), progress: value as JobProgress })
    }
    return true
  }
}

/** A leader that receives completions from a worker and writes progress records. */
class Leader {
  readonly token: number
  readonly scheduler: Scheduler
  readonly writer: ProgressWriter
  private seq = 0
  private readonly store: UnreliableStore

  constructor (store: UnreliableStore) {
    this.store = store
    this.token = store.electLeader()
    this.scheduler = new Scheduler({ clock: { now: () => 0 }, wallClock: () => 0, limits, queue: () => queue, term: this.token, leadershipConfirmedAt: () => Infinity, maxEarlierLeaseMs: 6_000 })
    const records = new JobRecords(store as unknown as Store, new JobKeys('w'))
    const opts = { service: 's', token: this.token, guard: { key: LEADER_KEY, createRevision: this.token }, store, records, logger: silentLogger, metrics: new Metrics(), wallClock: () => 0 }
    this.writer = new ProgressWriter(this.scheduler, opts as unknown as ServiceTermOpts, { onRecorded: () => {}, onNewerLeader: () => {} })
    const storedProgress = store.docs.get(PROGRESS_KEY) as Versioned<JobProgress> | undefined
    if (storedProgress !== undefined) this.writer.setPrior(ID, storedProgress)
    this.scheduler.table.addJob(job, { acceptedThisTerm: false, progress: storedProgress?.value })
    this.scheduler.setWorkers([worker], { unknownRunsUntil: 0 })
  }

  end (index: number, how: 'done' | 'failed'): void {
    this.seq += 1
    const tracked = this.scheduler.workers.get('w')
    if (tracked === undefined) return
    this.scheduler.applyReport(tracked, { clockMs: 0, born: 1, running: [], ended: [{ seq: this.seq, task: `${ID}.0.0.${index}`, attempt: this.token * 10_000 + this.seq, how, checkpoint: '' }], moreEnded: false }, { sentAt: 0, receivedAt: 0 })
  }

  /**
   * Completions that are acknowledged to the worker must be stored, or superseded by the job's outcome or a newer leader.
   * Checks only that a progress record exists.
   */
  assertAcknowledgedIsStored (): void {
    const seen = this.scheduler.workers.get('w')?.seenSeq() ?? 0
    if (seen === 0 || this.store.leader() !== this.token) return
    assert.ok(this.store.docs.has(PROGRESS_KEY), `completions up to ${seen} are acknowledged, but nothing is stored`)
  }
}

type Command =
  | { readonly kind: 'end', readonly leader: number, readonly index: number, readonly how: 'done' | 'failed' }
  | { readonly kind: 'flush', readonly leader: number, readonly writeResult: WriteResult, readonly readsFail: boolean }
  | { readonly kind: 'deliver' }
  | { readonly kind: 'elect' }

const leadersBack = fc.nat({ max: 2 })
const command: fc.Arbitrary<Command> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('end' as const), leader: leadersBack, index: fc.nat({ max: TASK_COUNT - 1 }), how: fc.constantFrom('done' as const, 'done' as const, 'failed' as const) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('flush' as const), leader: leadersBack, writeResult: fc.constantFrom('fine' as const, 'fine' as const, 'lost' as const, 'response-lost' as const, 'late' as const), readsFail: fc.boolean() }) },
  { weight: 1, arbitrary: fc.constant({ kind: 'deliver' as const }) },
  { weight: 1, arbitrary: fc.constant({ kind: 'elect' as const }) }
)

async function runCommands (commands: readonly Command[], bug: InjectedBug): Promise<void> {
  const store = new UnreliableStore(bug)
  const leaders = [new Leader(store)]
  for (const each of commands) {
    const leader = 'leader' in each ? leaders.at(-1 - each.leader) : undefined
    if (each.kind === 'elect') leaders.push(new Leader(store))
    if (each.kind === 'deliver') store.delayedWrites.shift()?.()
    if (each.kind === 'end') leader?.end(each.index, each.how)
    if (each.kind === 'flush') {
      store.writeResult = each.writeResult
      store.readsFail = each.readsFail
      await leader?.writer.flush()
      store.writeResult = 'fine'
      store.readsFail = false
    }
    for (const elected of leaders) elected.assertAcknowledgedIsStored()
    assertRecordsConsistent(store)
  }
  if (bug === 'none') await assertCanWrite(leaders.at(-1))
}

/** Checks that the current leader, once its calls succeed, needs at most one more write to find the stored version. */
async function assertCanWrite (leader: Leader | undefined): Promise<void> {
  const written = await leader?.writer.flush() === true || await leader?.writer.flush() === true
  assert.ok(written, 'the leader cannot write its records any more')
}

/** Checks that only the current leader writes, that done tasks stay done, and that an outcome never changes. */
function assertRecordsConsistent (store: UnreliableStore): void {
  let before: JobProgress | undefined
  for (const { by, leader, progress } of store.written) {
    assert.equal(by, leader, 'an earlier leader wrote')
    if (before?.outcome !== undefined) assert.equal(progress.outcome, before.outcome, 'an outcome changed')
    const staysDone = progress.outcome !== undefined || Object.entries(before?.tasks ?? {}).every(([taskKey, task]) => task.done !== true || progress.tasks[taskKey]?.done === true || progress.stepsDone.includes('0.0'))
    assert.ok(staysDone, 'a done task became open again')
    before = progress
  }
}

test('progress records never regress when writes of several leaders are late, lost or repeated', async () => {
  await fc.assert(fc.asyncProperty(fc.array(command, { maxLength: 40 }), async commands => await runCommands(commands, 'none')), { numRuns: NUM_RUNS, seed: SEED })
})

for (const bug of ['guards-ignored', 'lost-is-durable'] as const) {
  test(`the model test detects an injected bug in the store or the leader (${bug})`, async () => {
    const found = await fc.check(fc.asyncProperty(fc.array(command, { maxLength: 40 }), async commands => await runCommands(commands, bug)), { numRuns: NUM_RUNS, seed: SEED })
    assert.equal(found.failed, true)
  })
}
