import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { faultKinds, FaultyService, type Change, type Fault, type Scenario } from './faulty-service.ts'

const NUM_RUNS = Number(process.env.WISTERIASLIP_RUNS ?? 200)
const SEED = Number(process.env.WISTERIASLIP_SEED ?? 20_261_205)
/** Plays only the scenario of this number. */
const ONLY = process.env.WISTERIASLIP_SCENARIO
/** A task for which there is room must run within this time of the last fault: the users' rule, not a measured bound. */
const MAX_WAIT_MS = 7_000
/** When faults begin, and until when those that last do so; late orders are carried out later. */
const FAULTS_MS = { from: 1_000, until: 12_000 }
/** How long a leader that was not killed may go on beside its successor. */
const MAX_OVERLAP_MS = 1_200

const at = fc.integer({ min: FAULTS_MS.from, max: FAULTS_MS.until })
const fault = fc.record({ kind: fc.constantFrom(...faultKinds), atMs: at, forMs: fc.integer({ min: 100, max: 6_000 }), first: fc.nat(7), count: fc.integer({ min: 1, max: 4 }) })
const change = fc.record({ atMs: at, overlapMs: fc.oneof(fc.constant(0), fc.integer({ min: 1, max: MAX_OVERLAP_MS })) })

/** Scenarios with two changes of leader: to a second entry, then back to the first one or to a third one. */
const scenarios: fc.Arbitrary<Scenario> = fc.record({ seed: fc.nat(), faults: fc.array(fault, { minLength: 4, maxLength: 16 }), changes: fc.tuple(change, change), last: fc.constantFrom(0, 2) })
  .map(({ seed, faults, changes: [first, second], last }) => ({ seed, faults: faults.map(endInTime), changes: inOrder({ ...first, entry: 1 }, { ...second, entry: last }) }))

function endInTime (each: Fault): Fault {
  return { ...each, forMs: Math.max(100, Math.min(each.forMs, FAULTS_MS.until - each.atMs)) }
}

function inOrder (first: Change, second: Change): Change[] {
  return first.atMs <= second.atMs ? [first, second] : [{ ...first, atMs: second.atMs }, { ...second, atMs: first.atMs }]
}

const broken: Record<'waiting' | 'failed' | 'twice', string[]> = { waiting: [], failed: [], twice: [] }

async function play (scenario: Scenario, number: number): Promise<void> {
  const service = new FaultyService(scenario.seed)
  try {
    await service.play(scenario, MAX_WAIT_MS)
    const failed = service.failedJobs()
    const waiting = service.waitingTasks().filter(task => !failed.some(id => task.startsWith(`${id}.`)))
    if (waiting.length > 0) broken.waiting.push(`scenario ${number}: ${waiting.join(' ')}`)
    if (failed.length > 0) broken.failed.push(`scenario ${number}: ${failed.join(' ')}`)
    if (service.workers.violations.length > 0) broken.twice.push(`scenario ${number}: ${service.workers.violations[0]}`)
  } finally {
    service.close()
  }
}

// Played before the first test begins, as promises cost three times as much inside of a test.
for (const [number, scenario] of fc.sample(scenarios, { numRuns: NUM_RUNS, seed: SEED }).entries()) {
  if (ONLY === undefined || number === Number(ONLY)) await play(scenario, number)
}

// A leader kept a long-running task waiting for as long as its term lasted, although workers had room for it.
test('once faults are over, each long-running task for which there is room runs within 7 s, without a change of term', () => {
  assert.deepEqual(broken.waiting, [])
})

// A job was given up because its workers had crashed for reasons of their own.
test('no job is given up when workers crash that none of its tasks has crashed', () => {
  assert.deepEqual(broken.failed, [])
})

// A leader that took over, or one that held a worker for lost, started a task again that was still running there.
test('no task is started while it runs on a worker that is up', () => {
  assert.deepEqual(broken.twice, [])
})
