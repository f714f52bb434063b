import assert from 'node:assert/strict'
import { test } from 'node:test'
import { err } from '@wisteriaslip/core.result'
import { computeServiceLoad, withdrawWorkers } from '@wisteriaslip/jobs.service'
import { SchedulerHarness, step, worker } from '../../scheduler/test/harness.ts'
import { FleetPlatform, STEP_MS } from './fleet-platform.ts'

const services = [{ name: 's', guardsCapacity: true, standby: false }, { name: 'off', guardsCapacity: true, standby: true }]
/** The fleet's leader asks for a move within this time after a VM was called drained (jobs/scheduler/src/withdrawn-room.ts). */
const MAY_GO_DOWN_MS = 2_500

// A move without a response was forgotten in the next pass, so that its VM took runs at once: a move that is carried out late ends them.
test('a VM whose move had no response takes no long-running task while it may yet be moved', async () => {
  const platform = new FleetPlatform(['vm-w1', 'vm-w2'])
  const list = platform.listVms
  platform.listVms = () => ({ ...list(), vms: list().vms.map(vm => ({ ...vm, pool: 's', worker: vm.id.slice(3), capacity: { cpu: 4_000, memMb: 8_000, accelerators: 0 } })) })
  const leader = platform.createLeader()
  const harness = new SchedulerHarness()
  harness.now = platform.clock.now()
  harness.addWorkers(worker('w1'), worker('w2'))
  Object.assign(leader['opts'], { config: () => ({ version: 1, queues: [], services, maxBodyBytes: 1 }) })
  Object.assign(leader['opts'].services, {
    load: async () => computeServiceLoad(harness.scheduler, harness.now),
    withdraw: async (_service: string, vms: readonly string[]) => ({ kind: 'withdrawn', empty: withdrawWorkers(harness.scheduler, vms, harness.now) })
  })
  const moves: Array<{ vm: string, at: number }> = []
  leader['opts'].fleetClient.moveVm = async ({ vm }) => {
    moves.push({ vm, at: platform.clock.now() })
    return err({ kind: 'unknown', message: 'no response' })
  }
  const started: Array<{ vm: string, at: number }> = []
  while (platform.clock.now() < 120_000 && started.length < 2) {
    harness.now = platform.clock.now()
    for (const each of harness.scheduler.workers.values()) if (each.runs.size === 0) harness.report(each.registration.id)
    if (moves.length === 1 && harness.scheduler.table.jobs.size === 0) harness.addJob({ steps: [step({ lasting: true, tasks: 2, perWorker: 1 })] })
    started.push(...harness.startReadyTasks().map(run => ({ vm: run.worker.registration.vm, at: harness.now })))
    await platform.run(leader, STEP_MS)
  }
  const [move] = moves
  const start = started.find(({ vm }) => vm === move?.vm)
  assert.ok(move !== undefined, 'no move')
  assert.ok(start === undefined || start.at - move.at >= MAY_GO_DOWN_MS, `started on ${move.vm} ${(start?.at ?? 0) - move.at} ms after its move was requested`)
})
