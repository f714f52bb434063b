import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { StepOrder } from '../src/step-order.ts'
import { orderSteps } from '../src/step-priority.ts'
import { chooseWorker } from '../src/placement.ts'
import { SchedulerHarness, step, worker } from './harness.ts'

test('the order kept from pass to pass is that of sorting all steps, while steps come and go', () => {
  const change = fc.record({ tasks: fc.integer({ min: 1, max: 30 }), estimateMs: fc.integer({ min: 1, max: 9_000 }), lasting: fc.boolean(), remove: fc.boolean() })
  fc.assert(fc.property(fc.array(change, { maxLength: 40 }), changes => {
    const harness = new SchedulerHarness()
    const queue = () => ({ name: 'q', host: '', pathPrefix: '', service: 's', priority: 0, attempts: 1, stretch: 100, objectiveMs: 60_000, timeoutMs: 0, needsPermit: false })
    const order = new StepOrder(queue)
    for (const [number, { tasks, estimateMs, lasting, remove }] of changes.entries()) {
      harness.now += 7
      harness.addJob({ id: `j${number}`, steps: [step({ tasks, estimateMs, lasting })] })
      if (remove) harness.scheduler.table.cancel(`j${number >> 1}`)
      const ready = [...harness.scheduler.table.ready]
      const key = (each: typeof ready[number]): string => each.job.job.id
      assert.deepEqual(order.order(ready, harness.now).map(key), orderSteps(ready, { queue, now: harness.now }).map(key))
    }
  }))
})

test('ranking workers once places tasks as choosing a worker for each does', () => {
  const load = fc.record({ tasks: fc.integer({ min: 0, max: 4 }), rack: fc.constantFrom('r1', 'r2'), failures: fc.integer({ min: 0, max: 2 }), cpu: fc.integer({ min: 1_000, max: 8_000 }) })
  fc.assert(fc.property(fc.array(load, { minLength: 1, maxLength: 8 }), fc.integer({ min: 0, max: 3 }), fc.integer({ min: 200, max: 3_000 }), (loads, perWorker, cpu) => {
    const placements = [true, false].map(ranksOnce => {
      const harness = new SchedulerHarness()
      const workers = harness.addWorkers(...loads.map(({ rack, cpu }, number) => worker(`w${number}`, { rack, capacity: { cpu, memMb: 8_000, accelerators: 0 } })))
      for (const [number, { failures }] of loads.entries()) harness.worker(`w${number}`).failuresInARow = failures
      harness.addJob({ id: 'before', steps: [step({ tasks: loads.reduce((sum, { tasks }) => sum + tasks, 0) + 1, demand: { cpu: 500, memMb: 10, accelerators: 0 } })] })
      harness.startReadyTasks()
      harness.addJob({ id: 'j', steps: [step({ tasks: 12, perWorker, dataRack: 'r2', demand: { cpu, memMb: 10, accelerators: 0 } })] })
      const [added] = [...harness.scheduler.table.ready].filter(each => each.job.job.id === 'j')
      assert.ok(added !== undefined)
      if (ranksOnce) return harness.scheduler.placeReadyTasks().filter(run => run.task.step === added).map(run => run.worker.registration.id)
      const chosen: string[] = []
      for (const task of added.tasks) {
        const best = chooseWorker(added, workers)
        if (best === undefined) break
        chosen.push(best.registration.id)
        best.add({ task, worker: best, attempt: 1, phase: 'running', startedAt: 0, startCallEndedAt: 0, carriedTo: undefined, begunHere: true, sentHere: true, outlivedStart: false, confirmedAt: 0, stopReason: undefined, stopSentAt: undefined, stopAcknowledgedAt: undefined, percent: 0, startedWorkerClockMs: 0, mayBeStopping: false, progressedWorkerClockMs: 0, load: 0, foundSlow: false, isolation: undefined, speedPercent: 100 })
      }
      return chosen
    })
    assert.deepEqual(placements[0], placements[1])
  }))
})
