import assert from 'node:assert/strict'
import { test } from 'node:test'
import { recordingLogger, silentLogger } from '@wisteriaslip/core.logger'
import { Metrics } from '@wisteriaslip/core.metrics'
import { err, ok } from '@wisteriaslip/core.result'
import type { Run } from '@wisteriaslip/jobs.scheduler'
import { SchedulerHarness, running, worker } from '../../scheduler/test/harness.ts'
import { WorkerSession } from '../src/worker-session.ts'
import type { ServiceTermOpts } from '../src/ports.ts'

// A start in progress when its worker proved to have ended might have reached the next incarnation, and kept its task.
test('a start in progress is ended with the incarnation of its worker', async t => {
  const { harness, run, session } = startUntilAborted()
  const started = session.start(run, '', t.signal)
  assert.equal(run.startCallEndedAt, undefined)
  session.end()
  await started
  assert.equal(run.startCallEndedAt, harness.now)
  assert.equal(run.phase, 'unsettled')
})

test('a start that gets no response ends after its timeout', async t => {
  const { harness, run, session } = startUntilAborted()
  t.mock.timers.enable({ apis: ['setTimeout'] })
  const started = session.start(run, '', t.signal)
  t.mock.timers.tick(799)
  await new Promise(resolve => setImmediate(resolve))
  assert.equal(run.startCallEndedAt, undefined)
  t.mock.timers.tick(1)
  await started
  assert.equal(run.startCallEndedAt, harness.now)
  assert.equal(run.phase, 'unsettled')
})

// Ending starts took a second one, linked to the first, which doubled what the leader spends on a start's timeout.
test('a start creates a single abort controller', async t => {
  const { run, session } = startUntilAborted()
  const construct = t.mock.method(globalThis, 'AbortController')
  const started = session.start(run, '', t.signal)
  assert.equal(construct.mock.callCount(), 1)
  session.end()
  await started
})

/** Returns a session, and a run whose start gets no response until its call is aborted. */
function startUntilAborted (): { harness: SchedulerHarness, run: Run, session: WorkerSession } {
  const harness = new SchedulerHarness()
  const [tracked] = harness.addWorkers(worker('w1'))
  harness.addJob()
  const [run] = harness.scheduler.placeReadyTasks()
  assert.ok(tracked !== undefined && run !== undefined)
  const start = async (_endpoint: unknown, _command: unknown, signal: AbortSignal): Promise<unknown> => {
    await new Promise(resolve => signal.addEventListener('abort', resolve, { once: true }))
    return err({ kind: 'unknown', message: 'aborted' })
  }
  const opts = { service: 's', token: 1, clock: { now: () => harness.now }, workerClient: { start }, logger: silentLogger, metrics: new Metrics() } as unknown as ServiceTermOpts
  const session = new WorkerSession(tracked, harness.scheduler, opts, { onChange: () => {}, onNewerLeader: () => {}, mayAct: () => true, lagMs: () => 0, loadJobs: async () => {} })
  return { harness, run, session }
}

/** A session of a worker that another one has replaced at the address that is called; commands and polls wait until told. */
function callAnotherWorker () {
  const harness = new SchedulerHarness()
  const [tracked] = harness.addWorkers(worker('w1', { port: 1 }))
  harness.addJob()
  const [run] = harness.scheduler.placeReadyTasks()
  assert.ok(tracked !== undefined && run !== undefined)
  let respond = (): void => {}
  const call = async (): Promise<unknown> => {
    await new Promise<void>(resolve => { respond = resolve })
    return err({ kind: 'other-life', message: 'another worker' })
  }
  const opts = { service: 's', token: 1, clock: { now: () => harness.now }, workerClient: { start: call, stop: call, poll: call, closeConnections: () => {} }, logger: silentLogger, metrics: new Metrics() } as unknown as ServiceTermOpts
  const session = new WorkerSession(tracked, harness.scheduler, opts, { onChange: () => {}, onNewerLeader: () => {}, mayAct: () => true, lagMs: () => 0, loadJobs: async () => {} })
  const register = (port: number): void => harness.scheduler.setWorkers([worker('w1', { port })], { unknownRunsUntil: 0 })
  return { tracked, run, session, register, respond: () => respond() }
}

// A worker whose registration had named another address meanwhile counted as ended because its former address had another worker:
// its tasks were started elsewhere while they ran.
for (const command of ['start', 'stop', 'poll'] as const) {
  test(`another worker at an address that a worker is no longer registered at does not prove its end: ${command}`, async t => {
    const { tracked, run, session, register, respond } = callAnotherWorker()
    const abortController = new AbortController()
    const called = command === 'start' ? session.start(run, '', t.signal) : command === 'stop' ? session.stop(run, t.signal) : session.run(abortController.signal)
    register(2)
    respond()
    await new Promise(resolve => setTimeout(resolve, 20))
    assert.equal(tracked.ended, false)
    abortController.abort()
    await called
  })

  test(`another worker at the address that a worker is registered at proves its end: ${command}`, async t => {
    const { tracked, run, session, register, respond } = callAnotherWorker()
    const called = command === 'start' ? session.start(run, '', t.signal) : command === 'stop' ? session.stop(run, t.signal) : session.run(t.signal)
    register(1)
    respond()
    await called
    assert.equal(tracked.ended, true)
  })
}

// What a stop of an orphaned run, or a change of speed, threw was swallowed: nobody could see why the run went on as it was.
test('an unexpected error of a stop of an orphaned run is logged', async t => {
  const harness = new SchedulerHarness()
  const [tracked] = harness.addWorkers(worker('w1'))
  assert.ok(tracked !== undefined)
  harness.scheduler.table.markNotStored('00000000000000bb')
  const logged: string[] = []
  const abortController = new AbortController()
  const workerClient = {
    poll: async () => {
      harness.now += 10
      return ok({ clockMs: harness.now, born: tracked.registration.born, running: [running('00000000000000bb.0.0.0', 1)], ended: [], moreEnded: false })
    },
    stop: async () => {
      abortController.abort()
      throw new Error('injected')
    }
  }
  const opts = { service: 's', token: 1, clock: { now: () => harness.now }, workerClient, logger: recordingLogger(logged), metrics: new Metrics() } as unknown as ServiceTermOpts
  await new WorkerSession(tracked, harness.scheduler, opts, { onChange: () => {}, onNewerLeader: () => {}, mayAct: () => true, lagMs: () => 0, loadJobs: async () => {} }).run(abortController.signal)
  await new Promise(resolve => setTimeout(resolve, 10))
  assert.ok(logged.includes('worker command failed unexpectedly'), String(logged))
})

// A lease that the record does not know of would let the next leader start the runs there a second time.
test('a worker that is recorded as one without a lease is polled, and gets none', async t => {
  const harness = new SchedulerHarness()
  const [tracked] = harness.addWorkers(worker('w1'))
  assert.ok(tracked !== undefined)
  tracked.mayGetLeases = false
  const granted: boolean[] = []
  const abortController = new AbortController()
  const workerClient = {
    poll: async (_endpoint: unknown, { leaseUntilMs }: { leaseUntilMs: number | undefined }) => {
      granted.push(leaseUntilMs !== undefined)
      harness.now += 10
      if (granted.length === 2) tracked.mayGetLeases = true
      if (granted.length === 3) abortController.abort()
      return ok({ clockMs: harness.now, born: worker('w1').born, running: [], ended: [], moreEnded: false })
    },
    closeConnections: () => {}
  }
  const opts = { service: 's', token: 1, clock: { now: () => harness.now }, workerClient, logger: silentLogger, metrics: new Metrics() } as unknown as ServiceTermOpts
  const session = new WorkerSession(tracked, harness.scheduler, opts, { onChange: () => {}, onNewerLeader: () => {}, mayAct: () => true, lagMs: () => 0, loadJobs: async () => {} })
  await session.run(abortController.signal)
  assert.deepEqual(granted, [false, false, true])
})
