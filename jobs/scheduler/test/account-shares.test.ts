import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Account } from '@wisteriaslip/jobs.model'
import fc from 'fast-check'
import { StepOrder } from '../src/step-order.ts'
import { ended, job, SchedulerHarness, step, worker } from './harness.ts'

const WORKERS = 4
const CORES = 16

/** A service whose accounts send one kind of job, with an objective far away unless it is said otherwise. */
class SharedService {
  readonly harness: SchedulerHarness
  private readonly seqs = new Map<string, number>()
  private jobs = 0

  constructor (weights: Record<string, number>, opts: { objectiveMs?: number, known?: boolean } = {}) {
    const accounts = new Map<string, Account>(Object.entries(weights).map(([name, weight]) => [name, { name, keyDigests: [], weight, quota: { cpu: 0, memMb: 0, accelerators: 0 } }]))
    this.harness = new SchedulerHarness({ queue: { stretch: 1, objectiveMs: opts.objectiveMs ?? 600_000 }, account: name => opts.known === false ? undefined : accounts.get(name) })
    this.harness.addWorkers(...Array.from({ length: WORKERS }, (_, number) => worker(`w${number}`, { capacity: { cpu: CORES * 1_000, memMb: 64_000, accelerators: 0 } })))
  }

  send (account: string | undefined, { count = 1, ...overrides }: Parameters<typeof step>[0] & { count?: number } = {}): void {
    for (let number = 0; number < count; number++) {
      this.jobs += 1
      this.harness.addJob({ id: `${account ?? 'none'}-${String(this.jobs).padStart(5, '0')}`, account, acceptedAt: this.harness.now, steps: [step(overrides)] })
    }
  }

  /** Starts what fits; returns the accounts of the runs in order. */
  start (): string[] {
    return this.harness.startReadyTasks().map(run => run.task.step.job.job.account ?? 'none')
  }

  /** Ends all runs in progress as done, after a second, and starts what fits then. */
  next (afterMs = 1_000): string[] {
    this.harness.now += afterMs
    for (const tracked of this.harness.scheduler.workers.values()) {
      const { id } = tracked.registration
      const done = [...tracked.runs.values()].map(({ task, attempt }) => {
        this.seqs.set(id, (this.seqs.get(id) ?? 0) + 1)
        return ended(this.seqs.get(id) as number, task.name, attempt)
      })
      this.harness.report(id, { ended: done })
    }
    this.harness.persist()
    return this.start()
  }
}

function countOf (accounts: readonly string[]): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const account of accounts) counts[account] = (counts[account] ?? 0) + 1
  return counts
}

test('one account at six times its usual: what the others send within their weights starts at once', () => {
  const service = new SharedService({ a: 10, b: 10, c: 10 })
  const started: Record<string, number> = { a: 0, b: 0, c: 0 }
  for (let second = 0; second < 5; second++) {
    service.send('a', { count: 60, demand: { cpu: 2_000, memMb: 10, accelerators: 0 } })
    for (const other of ['b', 'c']) service.send(other, { count: 10, demand: { cpu: 2_000, memMb: 10, accelerators: 0 } })
    const counts = countOf(service.next())
    for (const name of Object.keys(started)) started[name] = (started[name] ?? 0) + (counts[name] ?? 0)
  }
  assert.deepEqual(started, { a: 60, b: 50, c: 50 })
})

test('what an account sends beyond its weight comes after all that is within, of its own and of others', () => {
  const service = new SharedService({ a: 1, b: 1 })
  const large = { demand: { cpu: 16_000, memMb: 10, accelerators: 0 } }
  service.send('a', { ...large, count: 4 })
  service.harness.now += 1_000
  service.send('a', { ...large, estimateMs: 90_000 })
  service.send('b', { ...large, estimateMs: 90_000 })
  const started = service.harness.startReadyTasks().map(run => run.task.step.job)
  assert.deepEqual(started.map(({ job, isBeyondWeight }) => [job.account, isBeyondWeight]).sort(), [['a', false], ['a', false], ['a', true], ['b', false]])
  assert.equal(started.at(-1)?.isBeyondWeight, true)
})

test('a job that is too late yields to those of other accounts that can be on time, and still comes before those beyond their weights', () => {
  const service = new SharedService({ a: 1, b: 1, c: 1 }, { objectiveMs: 500 })
  service.send('b', { demand: { cpu: 1_000, memMb: 10, accelerators: 0 } })
  service.harness.now += 800
  service.send('a', { tasks: 60 })
  service.send('c', { count: 2, tasks: 2, estimateMs: 90_000 })
  const order = service.start()
  assert.deepEqual([order[0], order.at(-2), order.at(-1)], ['a', 'b', 'c'])
  assert.deepEqual(countOf(order), { a: 60, b: 1, c: 3 })
})

test('many small accounts beside three large ones: each small one starts as soon as its jobs come', () => {
  const small = Array.from({ length: 20 }, (_, number) => `small${number}`)
  const service = new SharedService(Object.fromEntries([...small.map(name => [name, 1]), ['x', 20], ['y', 20], ['z', 20]]))
  for (const name of ['x', 'y', 'z']) service.send(name, { count: 15, tasks: 8, demand: { cpu: 1_000, memMb: 10, accelerators: 0 } })
  service.start()
  for (const name of small) service.send(name, { tasks: 1, estimateMs: 30_000, demand: { cpu: 1_000, memMb: 10, accelerators: 0 } })
  const counts = countOf(service.next())
  assert.deepEqual(small.map(name => counts[name]), small.map(() => 1))
  for (const name of ['x', 'y', 'z']) assert.ok((counts[name] ?? 0) >= 12 && (counts[name] ?? 0) <= 18, JSON.stringify(counts))
})

test('accounts with the same weight get the same room however large their jobs are, and by weight if these differ', () => {
  const service = new SharedService({ large: 100, small: 100, double: 200 })
  service.send('large', { count: 5, tasks: 40, demand: { cpu: 2_000, memMb: 10, accelerators: 0 } })
  service.send('small', { count: 90, tasks: 1, demand: { cpu: 500, memMb: 10, accelerators: 0 } })
  service.send('double', { count: 90, tasks: 1, demand: { cpu: 1_000, memMb: 10, accelerators: 0 } })
  const counts = countOf(service.start())
  assert.deepEqual(counts, { large: 8, small: 32, double: 32 })
})

test('the resource of which an account uses most counts', () => {
  const service = new SharedService({ cpu: 100, memory: 100 })
  service.send('cpu', { count: 90, demand: { cpu: 4_000, memMb: 10, accelerators: 0 } })
  service.send('memory', { count: 90, demand: { cpu: 100, memMb: 16_000, accelerators: 0 } })
  assert.deepEqual(countOf(service.start()), { cpu: 8, memory: 8 })
})

test('room that nobody else wants is used, also by jobs beyond their account\'s weight', () => {
  const service = new SharedService({ a: 1, idle: 50 })
  service.send('a', { count: 70 })
  assert.deepEqual(countOf(service.start()), { a: 64 })
})

test('jobs of many accounts run one after the other, rather than all of them slowly together', () => {
  const names = Array.from({ length: 20 }, (_, number) => `a${number}`)
  const service = new SharedService(Object.fromEntries(names.map(name => [name, 1])))
  for (const name of names) service.send(name, { tasks: 8, demand: { cpu: 2_000, memMb: 10, accelerators: 0 } })
  assert.deepEqual(Object.values(countOf(service.start())), [8, 8, 8, 8])
})

test('an account whose tasks cannot start holds up no other', () => {
  const service = new SharedService({ full: 10, waiting: 10 })
  service.send('full', { count: 5, label: 'nowhere' })
  service.send('waiting', { count: 5 })
  assert.deepEqual(countOf(service.start()), { waiting: 5 })
})

test('long-running steps come first whatever their account uses', () => {
  const service = new SharedService({ a: 1, b: 1 })
  service.send('a', { tasks: 40 })
  service.start()
  service.send('b')
  service.send('a', { tasks: 3, lasting: true })
  service.send('b', { tasks: 2, lasting: true })
  assert.deepEqual(service.start(), ['a', 'a', 'a', 'b', 'b', 'b'])
})

test('which jobs lie beyond a weight is the same in whichever order a leader learns of them, and after a takeover', () => {
  const arrival = fc.record({ afterMs: fc.integer({ min: 0, max: 400 }), lateBy: fc.integer({ min: 0, max: 3 }) })
  fc.assert(fc.property(fc.array(arrival, { maxLength: 40 }), fc.constantFrom(0.4, 1, 2.5, 7), (arrivals, weight) => {
    let at = 100_000
    const jobs = arrivals.map(({ afterMs, lateBy }, number) => {
      at += afterMs
      return { place: number + lateBy, job: job({ id: `j${number}`, account: 'a', acceptedAt: at }) }
    })
    const learned = [...jobs].sort((a, b) => a.place - b.place).map(each => each.job)
    const beyond = (batches: Array<typeof learned>): string[] => {
      const service = new SharedService({ a: weight })
      service.harness.now = 200_000
      for (const batch of batches) {
        for (const each of batch) service.harness.addJob(each)
        service.harness.scheduler.table.shares?.judgeJobs()
      }
      return [...service.harness.scheduler.table.jobs.values()].filter(tracked => tracked.isBeyondWeight).map(tracked => tracked.job.id).sort()
    }
    assert.deepEqual(beyond(learned.map(each => [each])), beyond([[...learned].reverse()]))
  }))
})

test('an account that keeps to its weight is never beyond it, and six times the weight is so for five of six jobs', () => {
  const beyondOf = (perSecond: number): number => {
    const service = new SharedService({ a: 4 })
    for (let number = 0; number < 240; number++) {
      service.harness.now = 50_000 + Math.round(number * 1_000 / perSecond)
      service.send('a')
      service.harness.scheduler.table.shares?.judgeJobs()
    }
    return [...service.harness.scheduler.table.jobs.values()].filter(tracked => tracked.isBeyondWeight).length
  }
  assert.equal(beyondOf(4), 0)
  assert.ok(Math.abs(beyondOf(24) - 200) <= 4, String(beyondOf(24)))
})

test('without accounts, with jobs of none, and with unknown ones the order is exactly that without regard to accounts', () => {
  const change = fc.record({ tasks: fc.integer({ min: 1, max: 30 }), estimateMs: fc.integer({ min: 1, max: 9_000 }), lasting: fc.boolean(), account: fc.constantFrom('a', 'b', undefined) })
  fc.assert(fc.property(fc.array(change, { maxLength: 40 }), fc.constantFrom('none', 'unknown', 'without'), (changes, kind) => {
    const service = kind === 'without' ? undefined : new SharedService({ a: 1, b: 1 }, { known: kind !== 'unknown', objectiveMs: 3_000 })
    const harness = service?.harness ?? new SchedulerHarness()
    const order = new StepOrder(() => undefined)
    const plain = new StepOrder(() => undefined)
    for (const [number, { account, ...spec }] of changes.entries()) {
      harness.now += 7
      harness.addJob({ id: `j${number}`, account: kind === 'none' ? undefined : account, steps: [step(spec)] })
      harness.scheduler.table.shares?.judgeJobs()
      const ready = [...harness.scheduler.table.ready]
      assert.deepEqual([...order.turns(ready, harness.now, harness.scheduler.table)], plain.order(ready, harness.now).map(each => ({ step: each, maxTasks: Infinity })))
    }
  }))
})

test('jobs beyond a weight count as demand, and apart from what is owed', () => {
  const service = new SharedService({ a: 2 })
  const { scheduler } = service.harness
  for (let number = 0; number < 10; number++) {
    service.harness.now += 50
    scheduler.addJob(job({ id: `j${number}`, account: 'a', acceptedAt: 10_000 }), { acceptedThisTerm: true })
  }
  assert.deepEqual([scheduler.waitingDemand().cpu, scheduler.waitingDemand({ isOwed: true }).cpu], [10_000, 2_000])
  assert.ok(scheduler.expectedCpu() > 4 * scheduler.expectedCpu({ isOwed: true }))
  assert.ok(scheduler.expectedCpu({ isOwed: true }) > 0)
})

test('a job explains its account\'s share', () => {
  const service = new SharedService({ a: 1 })
  service.send('a', { count: 2, tasks: 16 })
  service.start()
  const [first, second] = [...service.harness.scheduler.table.jobs.values()]
  assert.deepEqual(service.harness.scheduler.table.shares?.explain(first as NonNullable<typeof first>), { account: 'a', weight: 1, isBeyondWeight: false, share: 0.5 })
  assert.equal(second?.isBeyondWeight, true)
})
