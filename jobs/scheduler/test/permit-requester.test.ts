import assert from 'node:assert/strict'
import { test } from 'node:test'
import { SchedulerHarness, step, worker } from './harness.ts'

const VALID_MS = 1_500
/** Deciding on 100 workers takes longer than half of the validity, after which the first of them are due again. */
const DECISION_MS = 1_000
const ids = Array.from({ length: 150 }, (_, number) => `w${number}`)

// Only the first 100 workers were ever asked about when answers were due again before the next request: the policy allowed none of
// them, and a long-running task had no run although it allowed others with room.
test('workers that have not been asked about come first', () => {
  const harness = new SchedulerHarness({ queue: { needsPermit: true } })
  harness.addWorkers(...ids.map(id => worker(id)))
  harness.addJob({ steps: [step({ lasting: true })] })
  const allowed = 'w149'
  for (let requests = 0; requests < 2; requests++) {
    const [request] = harness.scheduler.permitRequester.collect()
    assert.ok(request !== undefined)
    harness.now += DECISION_MS
    harness.scheduler.permitRequester.handleResponse(request, { permits: new Map(request.workers.some(each => each.registration.id === allowed) ? [[allowed, 'permit']] : []), validMs: VALID_MS })
    harness.now += VALID_MS / 2
  }
  assert.deepEqual(harness.startReadyTasks().map(run => run.worker.registration.id), [allowed])
})

const cost = { decisionMs: 400, perWorkerMs: 100 }

function createRequester (opts: { permitCost?: typeof cost, gang?: boolean } = {}) {
  const harness = new SchedulerHarness({ queue: { needsPermit: true, permitCost: opts.permitCost } })
  harness.addWorkers(...ids.slice(0, 30).map(id => worker(id)))
  harness.addJob({ steps: [step({ tasks: 2, gang: opts.gang === true, perWorker: 1 })] })
  const { permitRequester } = harness.scheduler
  const next = () => {
    harness.now += 100
    const [request] = permitRequester.collect()
    assert.ok(request !== undefined)
    return request
  }
  const fail = () => permitRequester.handleResponse(next(), undefined)
  const answer = () => {
    const request = next()
    permitRequester.handleResponse(request, { permits: new Map(), validMs: 60_000 })
    return request
  }
  return { harness, next, fail, answer }
}

// The timeout was 3 s whatever a request takes: one about 30 workers was given up each time just before its answer.
test('a request may take what it costs, and names no more workers than keep its step waiting for a moment', () => {
  const { answer } = createRequester({ permitCost: cost })
  const asked = new Set<string>()
  for (let requests = 0; asked.size < 30; requests++) {
    const { workers, timeoutMs } = answer()
    const takesMs = cost.decisionMs + cost.perWorkerMs * workers.length
    assert.ok(takesMs <= 1_500, `takes ${takesMs} ms`)
    assert.ok(timeoutMs >= 2 * takesMs, `given up after ${timeoutMs} ms`)
    for (const each of workers) asked.add(each.registration.id)
    assert.ok(requests < 3, 'none is asked about twice before all were')
  }
})

test('a request for a gang names all workers, as its permits must be valid together, and may take as long as that takes', () => {
  const { workers, timeoutMs } = createRequester({ permitCost: cost, gang: true }).next()
  assert.equal(workers.length, 30)
  assert.ok(timeoutMs > 3_400)
})

test('a slow decision is not made for one worker at a time', () => {
  const { workers, timeoutMs } = createRequester({ permitCost: { decisionMs: 2_000, perWorkerMs: 50 } }).next()
  assert.equal(workers.length, 20)
  assert.ok(timeoutMs > 3_000)
})

// The same request was repeated without end.
test('after failures requests name fewer workers and may take longer, until one is answered', () => {
  const { next, fail, answer } = createRequester()
  for (let failures = 0; failures < 7; failures++) fail()
  const { workers, timeoutMs } = answer()
  assert.equal(workers.length, 1)
  assert.equal(timeoutMs, 12_000)
  assert.equal(next().workers.length, 29)
})
