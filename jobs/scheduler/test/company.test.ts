import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { Company, explainWorker, type CompanyCost, type Run, type TrackedStep, type TrackedWorker } from '@wisteriaslip/jobs.scheduler'
import type { Step } from '@wisteriaslip/jobs.model'
import { chooseWorker, rankWorkers } from '../src/placement.ts'
import { createRun } from '../src/run.ts'
import { SchedulerHarness, step, worker } from './harness.ts'

const serving: Partial<Step> = { image: 'api', latencyTargetMs: 100, lasting: true, perWorker: 1, demand: { cpu: 1_000, memMb: 100, accelerators: 0 } }
const filling: Partial<Step> = { image: 'crunch', backfill: true, estimateMs: 600_000, perWorker: 1, demand: { cpu: 1_000, memMb: 100, accelerators: 0 } }

/** A service of which most workers have a serving task, and some a task that fills beside it. */
class BusyService extends SchedulerHarness {
  readonly started: Run[] = []

  constructor (opts: { workers: number, serving: number, filling: number, fillingStep?: Partial<Step> }) {
    super()
    this.addWorkers(...Array.from({ length: opts.workers }, (_, number) => worker(`w${number}`)))
    this.addJob({ id: 'api', steps: [step({ ...serving, tasks: opts.serving })] })
    this.start()
    this.addJob({ id: 'crunch', steps: [step({ ...filling, tasks: opts.filling, ...opts.fillingStep })] })
    this.start()
  }

  start (): Run[] {
    const runs = this.startReadyTasks()
    this.started.push(...runs)
    return runs
  }

  /** Lets all workers report twice a second; a task that fills raises the tail latency beside it by a factor. */
  reportFor (ms: number, { factor = 1, calmMs = 60, checkpoint = 'saved' }: { factor?: number, calmMs?: number, checkpoint?: string } = {}): void {
    for (const end = this.now + ms; this.now < end;) {
      this.now += 500
      for (const { registration: { id }, runs } of this.scheduler.workers.values()) {
        const disturbed = [...runs.values()].some(run => run.task.step.spec.backfill)
        const loadOf = ({ task: { step: { spec } } }: Run): number => spec.backfill ? spec.demand.cpu : calmMs * (disturbed ? factor : 1)
        this.report(id, { running: [...runs.values()].map(run => ({ task: run.task.name, attempt: run.attempt, checkpoint: run.task.step.spec.checkpoints ? checkpoint : '', percent: 100, load: loadOf(run) })) })
      }
    }
  }

  /** Starts this many more tasks that fill, and returns on how many workers they run beside a serving task. */
  startMore (tasks: number): { started: number, beside: number } {
    this.addJob({ id: 'more', steps: [step({ ...filling, tasks })] })
    const runs = this.start()
    const beside = runs.filter(run => [...run.worker.runs.values()].some(each => each.task.step.spec.latencyTargetMs > 0)).length
    return { started: runs.length, beside }
  }
}

test('tasks that fill are started beside serving tasks that they disturb only when there is no room elsewhere', () => {
  const before = new BusyService({ workers: 14, serving: 10, filling: 6 })
  before.reportFor(40_000)
  assert.deepEqual(before.startMore(4), { started: 4, beside: 4 })
  const after = new BusyService({ workers: 14, serving: 10, filling: 6 })
  after.reportFor(40_000, { factor: 1.6 })
  assert.deepEqual(after.startMore(6), { started: 6, beside: 2 })
})

test('without room elsewhere they start at once, as before', () => {
  const service = new BusyService({ workers: 10, serving: 10, filling: 6 })
  service.reportFor(40_000, { factor: 1.6 })
  assert.equal(service.scheduler.company.pairs().length, 1)
  assert.deepEqual(service.startMore(4), { started: 4, beside: 4 })
})

test('a worker is explained with the pairs that are kept apart, once they are found', () => {
  const service = new BusyService({ workers: 14, serving: 10, filling: 6 })
  service.reportFor(2_000, { factor: 1.6 })
  assert.equal(explainWorker(service.scheduler, 'w0', service.now)?.['keptApart'], undefined)
  service.reportFor(40_000, { factor: 1.6 })
  const name = service.started.find(run => run.task.step.spec.backfill)?.worker.registration.id ?? ''
  const explained = explainWorker(service.scheduler, name, service.now) as { keptApart: Array<Record<string, unknown>>, serving: unknown[] }
  assert.deepEqual(explained.keptApart.map(({ image, slowsDown }) => `${String(image)} on ${String(slowsDown)}`), ['crunch on api'])
  assert.ok(Math.abs(Number(explained.keptApart[0]?.['byPercent']) - 60) <= 3, JSON.stringify(explained.keptApart))
  assert.deepEqual(explained.serving, [{ task: 'api.0.0.0', image: 'api', tailMs: 96, objectiveMs: 100 }].map(each => ({ ...each, task: (explained.serving[0] as { task: string }).task })))
  assert.deepEqual(service.scheduler.company.takeChanges().map(({ change, image, on }) => ({ change, image, on })), [{ change: 'found', image: 'crunch', on: 'api' }])
  assert.equal(service.scheduler.company.takeChanges().length, 0)
})

/** Lets the tasks that fill of a busy service be throttled for a while, and returns the reasons of the stops that are due then. */
function stopsAfterThrottling (opts: ConstructorParameters<typeof BusyService>[0], { percent = 20, ms = 7_000, checkpoint = 'saved' } = {}): Array<string | undefined> {
  const service = new BusyService(opts)
  service.reportFor(30_000, { factor: 1.6, checkpoint })
  for (const run of service.started) if (run.task.step.spec.backfill) run.speedPercent = percent
  service.reportFor(ms, { factor: 1.6, checkpoint })
  return service.scheduler.collectDueStops().map(({ stopReason }) => stopReason)
}

test('backfill that is throttled for long beside a task that it disturbs is moved, one run a second', () => {
  const opts = { workers: 14, serving: 10, filling: 6, fillingStep: { checkpoints: true } }
  assert.deepEqual(stopsAfterThrottling(opts), ['disturbs', 'disturbs'])
  assert.deepEqual(stopsAfterThrottling(opts, { ms: 5_000 }), [])
  assert.deepEqual(stopsAfterThrottling(opts, { percent: 80 }), [])
})

test('it stays where no other worker has room, where its work would be lost, and where it is long-running', () => {
  assert.deepEqual(stopsAfterThrottling({ workers: 10, serving: 10, filling: 6, fillingStep: { checkpoints: true } }), [])
  assert.deepEqual(stopsAfterThrottling({ workers: 14, serving: 10, filling: 6 }), [])
  assert.deepEqual(stopsAfterThrottling({ workers: 14, serving: 10, filling: 6, fillingStep: { checkpoints: true } }, { checkpoint: '' }), [])
  assert.deepEqual(stopsAfterThrottling({ workers: 14, serving: 10, filling: 6, fillingStep: { checkpoints: true, lasting: true } }), [])
})

/** Costs by worker id, for every step. */
function costs (byWorker: Readonly<Record<string, number>>): CompanyCost {
  return { concerns: () => true, costOf: (_step, { registration: { id } }) => byWorker[id] ?? 0 }
}

function emptyWorkers (...overrides: Array<Parameters<typeof worker>[1]>): { harness: SchedulerHarness, workers: TrackedWorker[] } {
  const harness = new SchedulerHarness()
  return { harness, workers: harness.addWorkers(...overrides.map((each, number) => worker(`w${number}`, each))) }
}

function readyStep (harness: SchedulerHarness, overrides: Partial<Step>): TrackedStep {
  harness.addJob({ id: 'j', steps: [step(overrides)] })
  const [ready] = [...harness.scheduler.table.ready].filter(({ job }) => job.job.id === 'j')
  assert.ok(ready !== undefined)
  return ready
}

test('a long-running task leaves a nearly full worker with others for an empty one, if its company disturbs it', () => {
  const { harness, workers } = emptyWorkers({}, {})
  const [first, second] = workers as [TrackedWorker, TrackedWorker]
  const placed = readyStep(harness, { tasks: 4, image: 'a', lasting: true })
  for (const task of placed.tasks.slice(0, 3)) first.add(createRun(task, first, { attempt: 1, now: 0 }))
  assert.equal(chooseWorker(placed, workers), first)
  assert.equal(chooseWorker(placed, workers, { company: costs({ w0: 1 }) }), second)
  assert.equal(chooseWorker(placed, workers, { company: costs({ w0: 0.1 }) }), first, 'as little as this does not count against packing')
})

test('company outweighs packing, but neither the rack of the data, failures nor workers to be avoided', () => {
  const { harness, workers } = emptyWorkers({}, { rack: 'r2' }, {})
  const [first, second, third] = workers as [TrackedWorker, TrackedWorker, TrackedWorker]
  const placed = readyStep(harness, { tasks: 2, image: 'a' })
  const [task] = placed.tasks
  assert.ok(task !== undefined)
  first.add(createRun(task, first, { attempt: 1, now: 0 }))
  const company = costs({ w0: 1 })
  assert.equal(chooseWorker(placed, workers), first)
  assert.notEqual(chooseWorker(placed, workers, { company }), first)
  assert.equal(chooseWorker({ ...placed, spec: { ...placed.spec, dataRack: 'r2' } }, workers, { company: costs({ w1: 1 }) }), second)
  assert.equal(chooseWorker(placed, workers, { company, avoid: new Set(['w1', 'w2']) }), first)
  second.failuresInARow = 1
  third.failuresInARow = 1
  assert.equal(chooseWorker(placed, workers, { company }), first)
})

const load = fc.record({ tasks: fc.integer({ min: 0, max: 4 }), failures: fc.integer({ min: 0, max: 2 }), rack: fc.constantFrom('r1', 'r2'), cpu: fc.integer({ min: 1_000, max: 8_000 }), cost: fc.double({ min: 0, max: 1, noNaN: true }) })

function loadedWorkers (loads: Array<{ tasks: number, failures: number, rack: string, cpu: number }>): { harness: SchedulerHarness, workers: TrackedWorker[] } {
  const { harness, workers } = emptyWorkers(...loads.map(({ rack, cpu }) => ({ rack, capacity: { cpu, memMb: 8_000, accelerators: 0 } })))
  harness.addJob({ id: 'before', steps: [step({ tasks: 10, demand: { cpu: 500, memMb: 10, accelerators: 0 }, image: 'b', lasting: true, latencyTargetMs: 50 })] })
  const tasks = [...harness.scheduler.table.ready].flatMap(each => each.tasks)
  for (const [number, { tasks: count, failures }] of loads.entries()) {
    const each = workers[number] as TrackedWorker
    each.failuresInARow = failures
    for (const task of tasks.splice(0, count)) each.add(createRun(task, each, { attempt: 1, now: 0 }))
  }
  return { harness, workers }
}

test('as long as no pair is known, tasks are placed exactly as without what is learned', () => {
  fc.assert(fc.property(fc.array(load, { minLength: 1, maxLength: 8 }), fc.boolean(), (loads, backfill) => {
    const { harness, workers } = loadedWorkers(loads)
    const placed = readyStep(harness, { tasks: 3, image: 'a', dataRack: 'r2', backfill })
    const company = new Company()
    assert.equal(chooseWorker(placed, workers, { company }), chooseWorker(placed, workers))
    assert.deepEqual(rankWorkers(placed, workers, { company }).map(({ registration }) => registration.id), rankWorkers(placed, workers).map(({ registration }) => registration.id))
  }))
})

test('with costs of company, ranking workers once places tasks as choosing a worker for each does', () => {
  fc.assert(fc.property(fc.array(load, { minLength: 1, maxLength: 8 }), fc.integer({ min: 0, max: 3 }), (loads, perWorker) => {
    const placements = [true, false].map(ranksOnce => {
      const { harness, workers } = loadedWorkers(loads)
      const company = costs(Object.fromEntries(loads.map(({ cost }, number) => [`w${number}`, cost])))
      const placed = readyStep(harness, { tasks: 8, perWorker, image: 'a', demand: { cpu: 700, memMb: 10, accelerators: 0 } })
      const ranked = rankWorkers(placed, workers, { company })
      return placed.tasks.map((task, index) => {
        const fits = (each: TrackedWorker): boolean => chooseWorker(placed, [each]) !== undefined
        const chosen = ranksOnce ? ranked.find(fits) : chooseWorker(placed, workers, { company })
        chosen?.add(createRun(task, chosen, { attempt: index + 1, now: 0 }))
        return chosen?.registration.id
      })
    })
    assert.deepEqual(placements[0], placements[1])
  }))
})
