import assert from 'node:assert/strict'
import { test } from 'node:test'
import { err } from '@wisteriaslip/core.result'
import type { FleetTerm, WaveRecord } from '@wisteriaslip/jobs.fleet'
import { WaveRecords } from '../src/wave-records.ts'
import { FleetPlatform, STEP_MS } from './fleet-platform.ts'

/** A drain that leaves its service no open worker, or one, gives way after this, and is tried again after the rest. */
const GIVE_WAY_MS = 6_000
const TURN_MS = 12_000
const REST_MS = 8_000

/** A service `a` whose VMs have workers with long-running tasks, and leaders of the fleet that drain them. */
class DrainedSite {
  readonly platform: FleetPlatform
  /** Number of long-running tasks by VM. */
  readonly lastingRuns: Map<string, number>
  /** VMs that are drained, as the leader of the service was told last. */
  drained: readonly string[] = []
  leader: FleetTerm
  writes = 0

  constructor (lastingRuns: Readonly<Record<string, number>>, cap = 1) {
    this.lastingRuns = new Map(Object.entries(lastingRuns))
    this.platform = new FleetPlatform([...this.lastingRuns.keys()])
    const list = this.platform.listVms
    this.platform.listVms = () => ({ ...list(), vms: list().vms.map(vm => ({ ...vm, pool: 'a' })) })
    this.platform.declare(1, [...this.lastingRuns.keys()], { cap })
    this.leader = this.createLeader()
  }

  /** The leader is replaced. */
  replaceLeader (): void {
    this.leader = this.createLeader()
  }

  /** @returns the VMs that are drained after each pass */
  async run (ms: number): Promise<string[][]> {
    const passes: string[][] = []
    for (const until = this.platform.clock.now() + ms; this.platform.clock.now() < until;) {
      await this.leader.step(new AbortController().signal)
      // Records that nothing waits for are written.
      await new Promise(resolve => { setImmediate(resolve) })
      this.platform.clock.advance(STEP_MS)
      passes.push([...this.drained])
    }
    return passes
  }

  private createLeader (): FleetTerm {
    const leader = this.platform.createLeader()
    const opts = leader['opts']
    Object.assign(opts, { config: () => ({ version: 1, queues: [], services: [{ name: 'a', guardsCapacity: true, standby: false }], maxBodyBytes: 1 }) })
    opts.services.load = async () => ({
      kind: 'load',
      workers: [...this.lastingRuns].map(([vm, lastingRuns]) => ({ worker: vm, vm, cpuShare: 0.5, runs: lastingRuns, lastingRuns, emptyMs: 0, withdrawn: false, usable: true })),
      wantedCpu: 1,
      wantedMemMb: 1,
      leastWorkers: this.lastingRuns.size
    })
    opts.services.withdraw = async (_service, vms) => {
      this.drained = vms
      return { kind: 'withdrawn', empty: vms.filter(vm => this.lastingRuns.get(vm) === 0) }
    }
    const store = leader['waves']['records']['store']
    const { write } = store
    store.write = async records => {
      this.writes += 1
      return await write(records)
    }
    return leader
  }
}

// Each leader of the fleet let a drain wait anew, so that tasks that end by themselves waited for as long as leaders changed.
test('a drain that cannot end gives way although leaders of the fleet change, each some seconds after the one before', async () => {
  const site = new DrainedSite({ v1: 2 })
  const passes: string[][] = []
  for (let leaders = 0; leaders < 4; leaders++) {
    passes.push(...await site.run(3_000))
    site.replaceLeader()
  }
  const gaveWayMs = passes.findIndex(vms => vms.length === 0) * STEP_MS
  assert.ok(gaveWayMs >= GIVE_WAY_MS && gaveWayMs <= GIVE_WAY_MS + 3_000, `${gaveWayMs} ms`)
})

// A successor drained at once what had just been given back.
test('a VM whose drain was given back rests under the next leader, and is drained again afterwards', async () => {
  const site = new DrainedSite({ v1: 2 })
  await site.run(GIVE_WAY_MS + 1_400)
  assert.deepEqual(site.drained, [])
  site.replaceLeader()
  const passes = await site.run(REST_MS + 1_000)
  const restedMs = passes.findIndex(vms => vms.includes('v1')) * STEP_MS
  assert.ok(restedMs >= REST_MS - 2_400 && restedMs <= REST_MS, `${restedMs} ms`)
})

// Guards against: the same VM of a service being drained by each leader, so that the others are never maintained.
test('the next leader goes on with the drain that has begun, and the other VM gets its turn', async () => {
  const site = new DrainedSite({ v1: 3, v2: 2 })
  await site.run(TURN_MS + REST_MS + 2_000)
  assert.deepEqual(site.drained, ['v1'], 'v2 has had its turn, and its rest')
  site.replaceLeader()
  assert.deepEqual((await site.run(1_000)).at(-1), ['v1'])
  const passes = await site.run(TURN_MS)
  assert.deepEqual(passes.at(-1), ['v2'])
})

// Guards against: a drain that is given back by a successor although its tasks have moved away since it was recorded.
test('a drain that has come closer to its end since it was recorded goes on under the next leader', async () => {
  const site = new DrainedSite({ v1: 4 })
  await site.run(GIVE_WAY_MS - 400)
  site.lastingRuns.set('v1', 3)
  site.replaceLeader()
  assert.ok((await site.run(GIVE_WAY_MS - 400)).every(vms => vms.includes('v1')))
})

// Guards against: a time without responses from the leader of a service that counts as one without long-running tasks.
test('a drain waits no longer because the load of its service is not known for a pass', async () => {
  const site = new DrainedSite({ v1: 2 })
  await site.run(3_000)
  const { services } = site.leader['opts']
  const { load } = services
  services.load = async () => undefined
  await site.run(STEP_MS)
  services.load = load
  assert.deepEqual((await site.run(GIVE_WAY_MS - 3_000 + STEP_MS)).at(-1), [])
})

// Guards against: records that are written in each pass, or while nothing waits.
test('turns are recorded about once a second while drains wait, and not otherwise', async () => {
  const site = new DrainedSite({ v1: 2, v2: 2 })
  await site.run(1_000)
  const before = site.writes
  await site.run(30_000)
  assert.ok(site.writes - before <= 30 && site.writes - before >= 20, `${site.writes - before} writes`)
  const idle = new DrainedSite({ v1: 0 })
  await idle.run(1_000)
  const { writes } = idle
  await idle.run(10_000)
  assert.ok(idle.writes - writes <= 1, `${idle.writes - writes} writes`)
})

// Guards against: a request that waits for the store because the turns of another drain cannot be recorded.
test('a recorded request is repeated while the turns of drains cannot be written', async () => {
  const site = new DrainedSite({ v1: 0, v2: 2, v3: 2 }, 2)
  site.platform.intercept = () => err({ kind: 'unknown', message: 'no response' })
  await site.run(2_000)
  assert.deepEqual(site.platform.records?.get(1)?.requested, ['v1'])
  site.platform.writesRecords = false
  const before = site.platform.requests.length
  await site.run(10_000)
  assert.ok(site.leader['waves']['turns'].times(site.platform.clock.now()).drains.length > 0, 'there was something to record')
  assert.ok(site.platform.requests.length - before >= 10, `${site.platform.requests.length - before} requests`)
})

// Guards against: requests that wait for slow records of turns most of the time.
test('turns are recorded less often if that takes long', async () => {
  const site = new DrainedSite({ v1: 2 })
  await site.run(400)
  const store = site.leader['waves']['records']['store']
  const { write } = store
  store.write = async records => {
    site.platform.clock.advance(1_000)
    return await write(records)
  }
  const before = site.writes
  await site.run(60_000)
  assert.ok(site.writes - before >= 8 && site.writes - before <= 13, `${site.writes - before} writes`)
})

// Guards against: a request that counts as recorded, or as not, after a write of turns whose outcome is not known.
test('turns are not written while something else has changed, but with it', async () => {
  const written: Array<ReadonlyMap<number, WaveRecord>> = []
  const records = new WaveRecords({ read: async () => new Map(), write: async each => { written.push(each); return true } })
  const record: WaveRecord = { createRevision: 1, revision: 1, begun: [], requested: [], gone: [], completed: false, reported: false, elapsedMs: 0, at: 0 }
  const turns = { drains: [], rests: [{ vm: 'v2', restedMs: 0 }] }
  await records.read()
  await records.save(new Map([[1, record]]))
  const changed = new Map([[1, { ...record, requested: ['v1'], turns }]])
  await records.saveTurns(changed)
  assert.equal(written.length, 1)
  await records.save(changed)
  await records.saveTurns(changed)
  assert.deepEqual(written.map(each => each.get(1)?.turns), [undefined, turns])
})
