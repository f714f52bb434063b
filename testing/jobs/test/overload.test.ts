import assert from 'node:assert/strict'
import { test } from 'node:test'
import { silentLogger } from '@wisteriaslip/core.logger'
import { Metrics } from '@wisteriaslip/core.metrics'
import type { AddressedJob, Job, Queue } from '@wisteriaslip/jobs.model'
import { ServiceTerm } from '@wisteriaslip/jobs.service'
import { JobKeys, JobRecords } from '@wisteriaslip/jobs.store'
import { StoreClient } from '@wisteriaslip/store.client'
import { MemoryDriver } from '@wisteriaslip/testing.stand-ins'
import { plainStep, VirtualProcess, VirtualWorkers } from '@wisteriaslip/testing.jobs'

const LEADER_KEY = 'w/leaders/service/s'
const WORKERS = 20
const LASTING_TASKS = 40
const TASKS_PER_JOB = 8
const RUN_MS = 640
/** Processor time of each call; with it the leader carries about twice the normal load. */
const CALL_COSTS = { sendMs: 5, readMs: 5 }
const STORE_CALL_MS = 3
const NORMAL_JOBS_PER_S = 5
const OVERLOAD = { jobsPerS: 4 * NORMAL_JOBS_PER_S, fromMs: 4_000, untilMs: 14_000 }
const LEASE_CHECK_MS = 10

const queue: Queue = { name: 'q', host: 'h', pathPrefix: '/q/', service: 's', priority: 0, attempts: 3, stretch: 2, objectiveMs: 600, timeoutMs: 3_000, needsPermit: false }

/** A leader on a small processor, with workers that run lasting tasks, under a load that is too high for some time. */
class OverloadedSite {
  readonly process = new VirtualProcess()
  readonly workers: VirtualWorkers
  private readonly driver = new MemoryDriver()
  private readonly store: StoreClient
  private readonly abort = new AbortController()
  private readonly registrations
  private term: ServiceTerm | undefined
  private jobs = 0

  constructor () {
    this.process.install()
    this.workers = new VirtualWorkers(this.process, { costs: CALL_COSTS, runMs: task => task.startsWith('lasting') ? Infinity : RUN_MS })
    this.registrations = this.workers.add(WORKERS, 's')
    this.driver.beforeTxn = async () => this.process.work(STORE_CALL_MS)
    this.store = new StoreClient(this.driver, { readsPerSecond: 1e6, writesPerSecond: 1e6, metrics: new Metrics(), clock: this.process })
    this.checkLeases()
  }

  /** Replaces the leader by a new one; the old one is paused for good, and does nothing more. */
  async elect (): Promise<void> {
    const current = await this.store.get(LEADER_KEY)
    if (current.ok && current.value !== undefined) await this.store.update([{ key: LEADER_KEY, prior: current.value, value: undefined }])
    const acquired = await this.store.update([{ key: LEADER_KEY, prior: undefined, value: {} }])
    assert.ok(acquired.ok)
    const term = new ServiceTerm({
      service: 's',
      token: acquired.value,
      guard: { key: LEADER_KEY, createRevision: acquired.value },
      leadershipConfirmedAt: () => this.process.now(),
      store: this.store,
      records: new JobRecords(this.store, new JobKeys('w')),
      workerClient: this.workers,
      permitClient: undefined,
      registeredWorkers: () => this.registrations,
      vms: async () => undefined,
      queue: () => queue,
      limits: { longestLeaseMs: 6_000, stopMs: 400, shutdownGraceMs: 6_000, keepMs: 120_000, maintenanceMs: 2_000 },
      clock: this.process,
      wallClock: () => this.process.now(),
      logger: silentLogger,
      metrics: new Metrics()
    })
    this.term = term
    term.run(this.abort.signal).catch(assert.ifError)
  }

  /**
   * Submits a job to whichever leader there is.
   * @param id - its id
   * @param step - its only step
   */
  submit (id: string, step: Job['steps'][number]): void {
    const job: AddressedJob = { id, address: 'q', queue: 'q', service: 's', payload: '', steps: [step], acceptedAt: this.process.now(), acceptedUnder: 0 }
    new JobRecords(this.store, new JobKeys('w')).accept(job).then(() => this.term?.push(job), assert.ifError)
  }

  /** Submits jobs at a rate between two times. */
  load (jobsPerS: number, fromMs: number, untilMs: number): void {
    for (let at = fromMs; at < untilMs; at += 1_000 / jobsPerS) {
      this.process.outsideAfter(at - this.process.now(), () => this.process.deliver(() => {
        this.jobs += 1
        this.submit(`job-${this.jobs}`, plainStep({ tasks: TASKS_PER_JOB, estimateMs: RUN_MS }))
      }))
    }
  }

  close (): void {
    this.abort.abort()
    this.process.uninstall()
  }

  private checkLeases (): void {
    this.workers.expireLeases()
    this.process.outsideAfter(LEASE_CHECK_MS, () => this.checkLeases())
  }
}

/** Runs a site under four times its load for ten seconds. */
async function runOverloaded (during: (site: OverloadedSite) => Promise<void>): Promise<void> {
  const site = new OverloadedSite()
  try {
    site.submit('lasting', plainStep({ tasks: LASTING_TASKS, lasting: true }))
    await site.elect()
    site.load(NORMAL_JOBS_PER_S, 1_000, OVERLOAD.fromMs)
    site.load(OVERLOAD.jobsPerS, OVERLOAD.fromMs, OVERLOAD.untilMs)
    await during(site)
  } finally {
    site.close()
  }
}

/** Asserts that a job that comes now is started and done promptly, whatever still waits. */
async function assertNormalService (site: OverloadedSite): Promise<void> {
  const submittedAt = site.process.now()
  site.process.deliver(() => site.submit('later', plainStep({ tasks: 2, estimateMs: RUN_MS })))
  await site.process.run(submittedAt + 2_000)
  for (const task of ['later.0.0.0', 'later.0.0.1']) {
    const startedAt = site.workers.startedAt.get(task) ?? Infinity
    assert.ok(startedAt - submittedAt < 1_000, `${task} started after ${startedAt - submittedAt} ms`)
  }
}

test('a leader under four times its load gets slower, and no lease expires', async () => {
  await runOverloaded(async site => {
    await site.process.run(OVERLOAD.untilMs)
    const { stats } = site.workers
    assert.equal(stats.lapsed, 0)
    assert.equal(stats.repeated, 0)
    assert.ok(stats.done > 10 * NORMAL_JOBS_PER_S * TASKS_PER_JOB, `${stats.done} tasks done`)
    await site.process.run(OVERLOAD.untilMs + 3_000)
    await assertNormalService(site)
    assert.equal(stats.lapsed, 0)
  })
})

test('a successor that takes over from an overloaded leader serves normally within seconds, and no lease expires', async () => {
  await runOverloaded(async site => {
    await site.process.run(9_000)
    await site.elect()
    await site.process.run(OVERLOAD.untilMs + 3_000)
    await assertNormalService(site)
    assert.equal(site.workers.stats.lapsed, 0)
    assert.equal(site.workers.stats.repeated, 0)
  })
})
