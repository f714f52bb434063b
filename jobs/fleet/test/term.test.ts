import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ok } from '@wisteriaslip/core.result'
import { silentLogger } from '@wisteriaslip/core.logger'
import { Metrics } from '@wisteriaslip/core.metrics'
import { FleetTerm, type WaveLedger, type WaveRecord } from '@wisteriaslip/jobs.fleet'
import type { Vm } from '@wisteriaslip/jobs.model'
import { ManualClock } from '@wisteriaslip/testing.stand-ins'

const wave = { number: 1, vms: ['v1', 'v2'], durationMs: 20_000, cap: 2 }
const services = [{ name: 'spare', guardsCapacity: true, standby: true }]

/** A fleet of two switched-off VMs, both due for a wave, and what its leaders write. */
class Fleet {
  readonly maintained: string[] = []
  readonly statuses: boolean[] = []
  records: ReadonlyMap<number, WaveRecord> | undefined = new Map()
  private readonly ledger: WaveLedger = {
    read: async () => this.records,
    write: async records => {
      this.records = records
      return true
    }
  }

  /** Lets a new leader work for a while, in its own time. */
  async lead (steps: number): Promise<void> {
    const ending = new AbortController()
    const clock = new ManualClock()
    let left = steps
    const term = new FleetTerm({
      token: 1,
      isLeader: () => {
        clock.advance(1_000)
        left -= 1
        if (left < 0) ending.abort()
        return left >= 0
      },
      fleetClient: {
        listVms: async () => ok(wave.vms.map((id): Vm => ({ id, pool: 'spare', state: 'up', zone: 'z', rack: 'r', labels: [], capacity: { cpu: 1, memMb: 1, accelerators: 0 }, worker: '' }))),
        moveVm: async () => ok(undefined),
        startMaintenance: async ({ vm }) => {
          this.maintained.push(vm)
          return ok(undefined)
        }
      },
      services: { load: async () => undefined, withdraw: async () => undefined },
      waves: () => [wave],
      config: () => ({ version: 1, queues: [], services, maxBodyBytes: 1 }),
      ledger: this.ledger,
      writeStatus: async (_wave, done) => {
        this.statuses.push(done)
        return true
      },
      maintenanceMs: 1_000,
      clock,
      wallClock: () => 0,
      logger: silentLogger,
      metrics: new Metrics()
    })
    await term.run(ending.signal)
  }
}

test('a wave that is complete is not begun again by the next leader, nor said to be running', async () => {
  const fleet = new Fleet()
  await fleet.lead(9)
  assert.deepEqual([...fleet.maintained].sort(), ['v1', 'v2'])
  assert.equal(fleet.statuses.at(-1), true)
  const before = fleet.statuses.length
  await fleet.lead(9)
  assert.equal(fleet.maintained.length, 2)
  assert.equal(fleet.statuses.length, before)
})

test('a leader that cannot read what was begun begins nothing', async () => {
  const fleet = new Fleet()
  fleet.records = undefined
  await fleet.lead(5)
  assert.deepEqual(fleet.maintained, [])
})
