import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { recordingLogger, silentLogger, type Logger } from '@wisteriaslip/core.logger'
import { Metrics } from '@wisteriaslip/core.metrics'
import { delay, err, ok, type Result } from '@wisteriaslip/core.result'
import type { WorkerCalls, WorkerChannel, WorkerEndpoint, WorkerError, WorkerReport } from '@wisteriaslip/jobs.model'
import type { Run, TrackedWorker } from '@wisteriaslip/jobs.scheduler'
import { StandInChannel } from '@wisteriaslip/testing.jobs'
import { SchedulerHarness, running, worker } from '../../scheduler/test/harness.ts'
import { WorkerSession } from '../src/worker-session.ts'
import type { ServiceTermOpts } from '../src/ports.ts'

type PollOpts = Parameters<WorkerCalls['poll']>[0]

const NEVER_ABORTED = new AbortController().signal
const aborted = err({ kind: 'unknown', message: 'aborted' } as const)

/** What a stand-in does with a call; `channel` is the number of its channel, counting from 0. */
interface Calls {
  readonly start?: (channel: number, signal: AbortSignal) => Promise<Result<number, WorkerError>>
  readonly stop?: (channel: number) => Promise<Result<number, WorkerError>>
  readonly poll?: (channel: number, opts: PollOpts, signal: AbortSignal) => Promise<Result<WorkerReport, WorkerError>>
}

async function untilAborted (signal: AbortSignal): Promise<typeof aborted> {
  if (!signal.aborted) await new Promise(resolve => signal.addEventListener('abort', resolve, { once: true }))
  return aborted
}

/** Lets all that is due go on. */
async function settle (): Promise<void> {
  for (let turn = 0; turn < 5; turn++) await new Promise(resolve => setImmediate(resolve))
}

/** A session of `w1`, of which a run waits to be started. Polls are answered at once, but for those that wait, unless a call says otherwise. */
class SessionHarness {
  readonly harness = new SchedulerHarness()
  readonly tracked: TrackedWorker
  readonly session: WorkerSession
  readonly channels: WorkerChannel[] = []
  readonly logged: string[] = []
  /** What was called, by channel. */
  readonly seen: string[] = []
  private readonly calls: Calls

  constructor (calls: Calls = {}, { port = 1, born, logger = silentLogger }: { port?: number, born?: number, logger?: Logger } = {}) {
    this.calls = calls
    const [tracked] = this.harness.addWorkers(worker('w1', { port, ...born === undefined ? {} : { born } }))
    assert.ok(tracked !== undefined)
    this.tracked = tracked
    const workerClient = { connect: (endpoint: WorkerEndpoint) => this.connect(endpoint) }
    const opts = { service: 's', token: 1, clock: { now: () => this.harness.now }, workerClient, logger, metrics: new Metrics() } as unknown as ServiceTermOpts
    this.session = new WorkerSession(tracked, this.harness.scheduler, opts, { onChange: () => {}, onNewerLeader: () => {}, mayAct: () => true, lagMs: () => 0, loadJobs: async () => {} })
  }

  /** Runs the session until the test ends, and waits until commands can be sent. */
  async open (t: TestContext): Promise<void> {
    const abortController = new AbortController()
    const ended = this.session.run(abortController.signal)
    t.after(async () => {
      abortController.abort()
      await ended
    })
    await settle()
    assert.equal(this.tracked.takesCommands, true)
  }

  /** Places a run. */
  place (): Run {
    this.harness.addJob()
    const [run] = this.harness.scheduler.placeReadyTasks()
    assert.ok(run !== undefined)
    return run
  }

  /** Places a run, which counts as sent. */
  startedRun (): Run {
    this.tracked.takesCommands = true
    const run = this.place()
    this.tracked.takesCommands = false
    return run
  }

  /** A report of the incarnation that the session is for, unless `born` says otherwise. */
  report (born = this.tracked.registration.born, clockMs = this.harness.now): Result<WorkerReport, WorkerError> {
    return ok({ clockMs, born, running: [], ended: [], moreEnded: false })
  }

  private connect (endpoint: WorkerEndpoint): WorkerChannel {
    const number = this.channels.length
    const { start, stop, poll } = this.calls
    const channel = new StandInChannel<unknown>(endpoint, {
      start: async (_channel, _command, signal) => {
        this.seen.push(`${number} start`)
        return await start?.(number, signal) ?? ok(this.harness.now)
      },
      stop: async () => {
        this.seen.push(`${number} stop`)
        return await stop?.(number) ?? ok(this.harness.now)
      },
      setSpeed: async () => ok(this.harness.now),
      poll: async (_channel, opts, signal) => {
        this.seen.push(`${number} poll${opts.leaseUntilMs === undefined ? '' : ' with lease'}`)
        if (poll !== undefined) return await poll(number, opts, signal)
        return opts.waitMs === 0 ? this.report() : await untilAborted(signal)
      }
    })
    this.channels.push(channel)
    return channel
  }
}

// A start in progress when its worker proved to have ended might have reached the next incarnation, and kept its task.
test('a start in progress is ended with the incarnation of its worker', async t => {
  const { harness, run, session } = await startUntilAborted(t)
  const started = session.start(run, '', t.signal)
  assert.equal(run.startCallEndedAt, undefined)
  session.end()
  await started
  assert.equal(run.startCallEndedAt, harness.now)
  assert.equal(run.phase, 'unsettled')
})

test('a start that gets no response ends after its timeout', async t => {
  const { harness, run, session } = await startUntilAborted(t)
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
  const { run, session } = await startUntilAborted(t)
  const construct = t.mock.method(globalThis, 'AbortController')
  const started = session.start(run, '', t.signal)
  assert.equal(construct.mock.callCount(), 1)
  session.end()
  await started
})

/** Returns a session, and a run whose start gets no response until its call is aborted. */
async function startUntilAborted (t: TestContext): Promise<{ harness: SchedulerHarness, run: Run, session: WorkerSession }> {
  const harness = new SessionHarness({ start: async (_channel, signal) => await untilAborted(signal) })
  await harness.open(t)
  return { harness: harness.harness, run: harness.place(), session: harness.session }
}

/** A session of a worker that another one replaces at the address that is called, once its channels are open; commands and polls wait until told. */
async function callAnotherWorker (t: TestContext) {
  const waiting = new Set<() => void>()
  let isReplaced = false
  const call = async (): Promise<Result<never, WorkerError>> => {
    await new Promise<void>(resolve => waiting.add(resolve))
    return err({ kind: 'other-life', message: 'another worker' })
  }
  const harness: SessionHarness = new SessionHarness({ start: call, stop: call, poll: async (_channel, opts, signal) => isReplaced || opts.waitMs > 0 ? await Promise.race([call(), untilAborted(signal)]) : harness.report() })
  await harness.open(t)
  isReplaced = true
  const register = (port: number): void => harness.harness.scheduler.setWorkers([worker('w1', { port })], { unknownRunsUntil: 0 })
  return { tracked: harness.tracked, run: harness.place(), session: harness.session, register, respond: () => { for (const resolve of waiting) resolve() } }
}

// A worker whose registration had named another address meanwhile counted as ended because its former address had another worker:
// its tasks were started elsewhere while they ran.
for (const command of ['start', 'stop', 'poll'] as const) {
  for (const { name, port, ended } of [{ name: 'an address that a worker is no longer registered at does not prove its end', port: 2, ended: false }, { name: 'the address that a worker is registered at proves its end', port: 1, ended: true }]) {
    test(`another worker at ${name}: ${command}`, async t => {
      const { tracked, run, session, register, respond } = await callAnotherWorker(t)
      const called = command === 'start' ? session.start(run, '', t.signal) : command === 'stop' ? session.stop(run, t.signal) : Promise.resolve()
      await settle()
      register(port)
      respond()
      await called
      await settle()
      assert.equal(tracked.ended, ended)
    })
  }
}

// What a stop of an orphaned run, or a change of speed, threw was swallowed: nobody could see why the run went on as it was.
test('an unexpected error of a stop of an orphaned run is logged', async t => {
  const logged: string[] = []
  const harness: SessionHarness = new SessionHarness({
    poll: async (_channel, opts, signal) => opts.waitMs > 0 ? await untilAborted(signal) : ok({ clockMs: harness.harness.now, born: harness.tracked.registration.born, running: [running('00000000000000bb.0.0.0', 1)], ended: [], moreEnded: false }),
    stop: async () => { throw new Error('injected') }
  }, { logger: recordingLogger(logged) })
  harness.harness.scheduler.table.markNotStored('00000000000000bb')
  await harness.open(t)
  await settle()
  assert.ok(logged.includes('worker command failed unexpectedly'), String(logged))
})

// A lease that the record does not know of would let the next leader start the runs there a second time.
test('a worker that is recorded as one without a lease is polled, and gets none', async t => {
  const granted: boolean[] = []
  const abortController = new AbortController()
  const harness: SessionHarness = new SessionHarness({
    poll: async (channel, { leaseUntilMs }, signal) => {
      if (channel > 0) return harness.report()
      granted.push(leaseUntilMs !== undefined)
      harness.harness.now += 10
      if (granted.length === 3) harness.tracked.mayGetLeases = true
      if (granted.length === 4) abortController.abort()
      return granted.length === 4 ? await untilAborted(signal) : harness.report()
    }
  })
  harness.tracked.mayGetLeases = false
  await harness.session.run(abortController.signal)
  assert.deepEqual(granted, [false, false, false, true])
})

// A start, or a lease, that was meant for one incarnation of a worker was carried out by the next one under its id and address.
test('starts, and polls that grant a lease, follow a response of the incarnation on their channel', async t => {
  const harness = new SessionHarness()
  await harness.session.start(harness.startedRun(), '', t.signal)
  assert.deepEqual(harness.seen, [], 'no start without a channel')
  await harness.open(t)
  assert.deepEqual(harness.seen, ['0 poll', '1 poll', '0 poll with lease'])
  harness.harness.now += 500
  const run = harness.place()
  await harness.session.start(run, '', t.signal)
  assert.deepEqual(harness.seen.slice(3), ['1 start'])
  assert.equal(run.sentHere, true, 'it is over with its incarnation')
})

test('a channel on which another incarnation has responded gets no start, and ends this one', async t => {
  const harness: SessionHarness = new SessionHarness({ poll: async (channel, opts, signal) => opts.waitMs > 0 ? await untilAborted(signal) : harness.report(channel === 1 ? 99 : undefined) })
  const ended = harness.session.run(t.signal)
  await settle()
  assert.equal(harness.tracked.takesCommands, false)
  assert.equal(harness.tracked.ended, true)
  assert.equal(harness.harness.scheduler.workers.get('w1')?.registration.born, 99)
  assert.deepEqual(harness.channels.map(channel => channel.ended.aborted), [true, true])
  await ended
})

// A worker that restarts within some 2% of the time since its last response has a clock like the one before.
test('an incarnation is told by its birth, also if its clock is that of the one before', async t => {
  const harness: SessionHarness = new SessionHarness({ poll: async (channel, opts, signal) => opts.waitMs > 0 ? await untilAborted(signal) : harness.report(channel === 1 ? 99 : undefined, harness.harness.now + 5) })
  const ended = harness.session.run(t.signal)
  await settle()
  assert.equal(harness.tracked.takesCommands, false)
  await ended
})

// Told by its clock, a worker whose clock falls behind would get no starts for as long as it does.
test('an incarnation is told by its birth, also if its clock has fallen behind', async t => {
  const harness: SessionHarness = new SessionHarness({ poll: async (channel, opts, signal) => opts.waitMs > 0 ? await untilAborted(signal) : harness.report(undefined, harness.harness.now - (channel === 1 ? 500 : 0)) })
  await harness.open(t)
  assert.equal(harness.tracked.takesCommands, true)
})

test('a worker that does not say when it was born is told by its clock, however late its response is', async t => {
  for (const { clockMs, lateMs, isOwn } of [{ clockMs: 0, lateMs: 0, isOwn: true }, { clockMs: 0, lateMs: 300, isOwn: true }, { clockMs: -500, lateMs: 0, isOwn: false }]) {
    const harness: SessionHarness = new SessionHarness({
      poll: async (channel, opts, signal) => {
        if (opts.waitMs > 0) return await untilAborted(signal)
        const report = { clockMs: harness.harness.now + (channel === 1 ? clockMs : 0), born: undefined, running: [], ended: [], moreEnded: false }
        if (channel === 1) harness.harness.now += lateMs
        return ok(report)
      }
    })
    const abortController = new AbortController()
    const ended = harness.session.run(abortController.signal)
    await settle()
    assert.equal(harness.tracked.takesCommands, isOwn, `${clockMs} ${lateMs}`)
    abortController.abort()
    await ended
  }
})

// The polls of a worker whose registration does not say when it was born took the next incarnation for it, and granted that one a lease by the former clock.
test('a worker whose registration does not say when it was born is told by the birth in its reports', async t => {
  let born = 7
  const asked: number[] = []
  const harness: SessionHarness = new SessionHarness({
    poll: async (channel, opts, signal) => {
      if (channel >= 2 && opts.leaseUntilMs !== undefined) asked.push(opts.leaseUntilMs)
      return opts.waitMs > 0 ? await untilAborted(signal) : harness.report(born, channel >= 2 ? 5 : 60_000)
    }
  }, { born: 0 })
  await harness.open(t)
  born = 8
  harness.harness.now += 1_000
  harness.channels[0]?.close()
  harness.session.pollNow()
  await settle()
  assert.deepEqual(asked, [])
  assert.equal(harness.tracked.ended, true)
  const next = harness.harness.scheduler.workers.get('w1')
  assert.deepEqual([next?.registration.born, next?.deregistered], [8, true])
  harness.harness.scheduler.setWorkers([worker('w1', { port: 1, born: 0 })], { unknownRunsUntil: 0 })
  assert.equal(harness.harness.scheduler.workers.get('w1')?.deregistered, false)
})

test('once its channel for commands has ended a worker gets no starts until it has responded on another one', async t => {
  let mayRespond = true
  const harness: SessionHarness = new SessionHarness({ poll: async (_channel, opts, signal) => opts.waitMs > 0 || !mayRespond ? await untilAborted(signal) : harness.report() })
  await harness.open(t)
  mayRespond = false
  harness.channels[1]?.close()
  assert.equal(harness.tracked.takesCommands, false)
  assert.equal(harness.tracked.takesStarts(harness.harness.now), false)
  const stopped = harness.session.stop(harness.startedRun(), t.signal)
  await settle()
  assert.deepEqual(harness.seen.slice(3), ['2 poll'])
  mayRespond = true
  harness.channels[2]?.close()
  await stopped
  assert.equal(harness.tracked.takesCommands, true)
  assert.deepEqual(harness.seen.slice(4), ['3 poll', '3 stop'])
})

test('after a poll that was broken off the next one is sent on a new channel, and grants no lease', async t => {
  const harness = new SessionHarness()
  await harness.open(t)
  harness.session.pollNow()
  await settle()
  assert.deepEqual(harness.seen.slice(3), ['2 poll', '2 poll with lease'])
})

test('a worker that is registered at another address is polled there, without a lease at first', async t => {
  let respond = (): void => {}
  const harness: SessionHarness = new SessionHarness({
    poll: async (_channel, opts, signal) => {
      if (opts.waitMs > 0) await Promise.race([new Promise<void>(resolve => { respond = resolve }), untilAborted(signal)])
      return signal.aborted ? aborted : harness.report()
    }
  })
  await harness.open(t)
  harness.harness.scheduler.setWorkers([worker('w1', { port: 2 })], { unknownRunsUntil: 0 })
  respond()
  await settle()
  assert.deepEqual(harness.seen.slice(3), ['2 poll', '2 poll with lease'])
  assert.deepEqual([harness.channels[0]?.ended.aborted, harness.channels[2]?.endpoint.port], [true, 2])
})

test('channels end with the session, which the log does not call a loss', async t => {
  const logged: string[] = []
  const harness = new SessionHarness({}, { logger: recordingLogger(logged) })
  await harness.open(t)
  harness.session.end()
  assert.ok(harness.channels.every(channel => channel.ended.aborted))
  assert.deepEqual(logged.filter(line => line.includes('ended')), [])
})

/** Longer than a session waits for a start to settle, and much shorter than a poll that waits for a completion. */
const SOON_MS = 150

// Each step of settling such a start waited for a poll that waited for a completion: its task had no run for 3 s, of which the worker responded all the time.
test('a start without a response is settled by polls that do not wait for a completion', async t => {
  const site = new SessionHarness({ start: async () => aborted })
  await site.open(t)
  const run = site.place()
  await site.session.start(run, '', NEVER_ABORTED)
  assert.equal(run.phase, 'unsettled')
  site.harness.now += SOON_MS
  await delay(SOON_MS, NEVER_ABORTED)
  assert.equal(run.stopReason, 'start unanswered')
  await site.session.stop(run, NEVER_ABORTED)
  site.harness.now += SOON_MS
  await delay(SOON_MS, NEVER_ABORTED)
  assert.equal(run.task.runs.length, 0)
})

test('a start that the worker has refused asks for no poll', async t => {
  const site = new SessionHarness({ start: async () => err({ kind: 'refused', reason: 'room' }) })
  await site.open(t)
  const { length } = site.seen
  await site.session.start(site.place(), '', NEVER_ABORTED)
  await delay(SOON_MS, NEVER_ABORTED)
  assert.deepEqual(site.seen.slice(length).filter(each => each.includes('poll')), [])
})
