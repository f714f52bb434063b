import assert from 'node:assert/strict'
import { test } from 'node:test'
import { SchedulerHarness, worker } from './harness.ts'

/** A leader that has taken over w1 and w2, of which w2 has responded. */
function takeOver (unknownRunsMs: Record<string, number> = {}, usedIds?: string[]): SchedulerHarness {
  const harness = new SchedulerHarness({ term: 1 })
  if (usedIds !== undefined) harness.scheduler.earlierRuns.limitToWorkers(usedIds)
  harness.scheduler.earlierRuns.takeOver(unknownRunsMs, harness.now)
  harness.scheduler.setWorkers([worker('w1'), worker('w2')], { unknownRunsUntil: harness.now + 5_700 })
  harness.report('w2')
  return harness
}

// A successor waited the whole time for a silent worker, whatever its predecessors had waited.
test('a leader waits for a silent worker no longer than an earlier one would have', () => {
  const { born } = worker('w1')
  const harness = takeOver({ [`w1/${born}`]: 700 })
  assert.equal(harness.scheduler.mayHaveUnknownRuns(), true)
  harness.now += 700
  assert.equal(harness.scheduler.mayHaveUnknownRuns(), false)
})

// What is known of an incarnation says nothing of the next one, which may have carried out a late start.
test('a leader waits the whole time for a worker that has restarted since an earlier one found it silent', () => {
  const { born } = worker('w1')
  const harness = takeOver({ [`w1/${born}`]: 0 })
  assert.equal(harness.scheduler.mayHaveUnknownRuns(), false)
  harness.scheduler.setWorkers([worker('w1', { born: born + 1 }), worker('w2')], { unknownRunsUntil: harness.now + 5_700 })
  assert.equal(harness.scheduler.mayHaveUnknownRuns(), true)
})

// A worker that joined after a change of leader kept tasks waiting until it responded, although nobody can have used it before.
test('a leader does not wait for a worker that no earlier leader can have used', () => {
  const harness = takeOver({}, ['w2'])
  assert.equal(harness.scheduler.mayHaveUnknownRuns(), false)
  assert.equal(harness.worker('w1').unknownRunsMs(harness.now), 0)
})

test('a leader waits for a worker that an earlier one may have used, whichever incarnation it is now', () => {
  const { born } = worker('w1')
  const harness = takeOver({}, ['w1', 'w2'])
  assert.equal(harness.scheduler.mayHaveUnknownRuns(), true)
  harness.scheduler.setWorkers([worker('w1', { born: born + 1 }), worker('w2')], { unknownRunsUntil: harness.now + 5_700 })
  assert.equal(harness.scheduler.mayHaveUnknownRuns(), true)
})

test('for a worker that has not responded, runs of earlier leaders are unknown for the rest of the wait', () => {
  const harness = takeOver()
  assert.equal(harness.worker('w1').unknownRunsMs(harness.now), 5_700)
  harness.now += 5_000
  assert.equal(harness.worker('w1').unknownRunsMs(harness.now), 700)
  harness.now += 5_000
  assert.equal(harness.worker('w1').unknownRunsMs(harness.now), 0)
  harness.report('w1')
  assert.equal(harness.worker('w1').unknownRunsMs(harness.now), undefined)
})

// The next leader would start tasks again that run on a worker which has fallen silent, or that have just been done there.
test('a worker that has fallen silent counts as one without runs once its leases have expired and its completions are durable', () => {
  const harness = takeOver()
  const w2 = harness.worker('w2')
  w2.markUnreachable(harness.now)
  assert.equal(w2.unknownRunsMs(harness.now), undefined)
  harness.now += 6_000
  assert.equal(w2.unknownRunsMs(harness.now), 0)
  w2.pendingCompletions.add(1)
  assert.equal(w2.unknownRunsMs(harness.now), undefined)
})

test('a silent worker with a run that is not released counts as one with runs', () => {
  const harness = takeOver()
  harness.report('w1')
  harness.worker('w2').cooldownUntil = Infinity
  harness.addJob()
  harness.startWithoutResponse()
  harness.worker('w1').markUnreachable(harness.now)
  harness.now += 20_000
  assert.equal(harness.worker('w1').unknownRunsMs(harness.now), undefined)
})

// A lease that the record does not know of would let the next leader start the task a second time.
test('a worker that is recorded as one without a lease gets no starts', () => {
  const harness = takeOver()
  harness.report('w1')
  harness.addJob()
  for (const id of ['w1', 'w2']) harness.worker(id).mayGetLeases = false
  assert.deepEqual(harness.startReadyTasks(), [])
  harness.worker('w2').mayGetLeases = true
  assert.deepEqual(harness.startReadyTasks().map(run => run.worker.registration.id), ['w2'])
})

// A duration that could not be read was taken for none.
test('a duration that cannot be read does not shorten the wait', () => {
  const { born } = worker('w1')
  for (const odd of [null, -1, 'noise', Number.NaN]) assert.equal(takeOver({ [`w1/${born}`]: odd as number }).scheduler.mayHaveUnknownRuns(), true, String(odd))
})

// A worker that has listed some of its completions only holds a lease of this term; the rest of the first wait says nothing about it.
test('a worker that has responded, but not listed all of its completions, counts as one with a lease until that has expired', () => {
  const harness = new SchedulerHarness({ term: 1 })
  harness.scheduler.setWorkers([worker('w1')], { unknownRunsUntil: harness.now + 1_000 })
  const w1 = harness.worker('w1')
  harness.scheduler.applyReport(w1, { clockMs: 1_000, born: worker('w1').born, running: [], ended: [], moreEnded: true }, { sentAt: harness.now, receivedAt: harness.now })
  w1.extendLease(harness.now, 4_000)
  w1.markUnreachable(harness.now)
  harness.now += 500
  assert.equal(w1.unknownRunsMs(harness.now), undefined)
  harness.now += 2_000
  assert.equal(w1.unknownRunsMs(harness.now), undefined)
  harness.now += 2_500
  assert.equal(w1.unknownRunsMs(harness.now), 0)
})
