import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ok } from '@wisteriaslip/core.result'
import { silentLogger } from '@wisteriaslip/core.logger'
import { Metrics } from '@wisteriaslip/core.metrics'
import { FleetTerm, type WaveRecord, type WaveRecordStore } from '@wisteriaslip/jobs.fleet'
import type { Vm } from '@wisteriaslip/jobs.model'
import { ManualClock } from '@wisteriaslip/testing.stand-ins'

const wave = { number: 1, vms: ['v1', 'v2'], durationMs: 20_000, cap: 2 }
const services = [{ name: 'spare', guardsCapacity: true, standby: true }]

/** A fleet of two powered-off VMs that are both part of one wave. Keeps what the fleet leaders request and write. */
class FakeFleet {
  readonly maintained: string[] = []
  readonly statuses: boolean[] = []
  records: ReadonlyMap<number, WaveRecord> | undefined = new Map()
  private readonly waveRecords: WaveRecordStore = {
    read: async () => this.records,
    write: async records => {
      this.records = records
      return true
    }
  }

  /** Runs a new leader's term on its own clock until it has checked its leadership `steps` times. */
  async runTerm (steps: number): Promise<void> {
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
      waveRecords: this.waveRecords,
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

test('the next leader neither restarts a completed wave nor reports it as running', async () => {
  const fleet = new FakeFleet()
  await fleet.runTerm(9)
  assert.deepEqual([...fleet.maintained].sort(), ['v1', 'v2'])
  assert.equal(fleet.statuses.at(-1), true)
  const before = fleet.statuses.length
  await fleet.runTerm(9)
  assert.equal(fleet.maintained.length, 2)
  assert.equal(fleet.statuses.length, before)
})

test('a leader that cannot read the wave records starts no maintenance', async () => {
  const fleet = new FakeFleet()
  fleet.records = undefined
  await fleet.runTerm(5)
  assert.deepEqual(fleet.maintained, [])
})
