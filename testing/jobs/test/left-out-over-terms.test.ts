import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { WorkerMachine } from '@wisteriaslip/testing.simulation'
import { FaultyService } from './faulty-service.ts'

const VM = 'vm0'
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12]
const CHANGE_MS = 4_450
const LATE_CHANGE_MS = 5_100
const CALM_MS = 4_000

/** What happens to a VM whose worker runs on. */
interface Step {
  readonly atMs: number
  readonly listedAs?: WorkerMachine['listedAs']
  readonly unreachable?: boolean
  readonly registered?: boolean
  readonly reset?: boolean
}

/** Returns how often tasks ran twice when a second leader takes over, and the first time, by seed. */
async function play (steps: readonly Step[], changeAtMs = CHANGE_MS): Promise<string[]> {
  const twice: string[] = []
  for (const seed of SEEDS) {
    const service = new FaultyService(seed)
    const { workers, process } = service
    const apply = ({ listedAs, unreachable, registered, reset }: Step): void => {
      const machine = workers.machines.get(VM)
      assert.ok(machine?.incarnation !== undefined)
      if (listedAs !== undefined) machine.listedAs = listedAs
      if (unreachable !== undefined) workers.setUnreachable(VM, unreachable)
      if (reset === true) workers.calls.resetConnections(machine.incarnation)
      if (registered !== undefined) workers.setRegistered(VM, registered)
    }
    for (const step of steps) process.outsideAfter(step.atMs, () => apply(step))
    try {
      await service.play({ seed, faults: [], changes: [{ atMs: changeAtMs, entry: 1, overlapMs: 0 }] }, CALM_MS)
      const violations = workers.history.violations()
      if (violations.length > 0) twice.push(`seed ${seed}: ${violations.length}, ${violations[0]}`)
    } finally {
      service.close()
    }
  }
  return twice
}

// The first list of a term, which shows the VM, was not applied to its worker: 1.3 s of lists of the term before and 0.5 s of this one
// ended a worker at work, and its tasks ran twice.
test('a worker runs on whose VM lists leave out for 1.3 s, show to the next leader, and leave out for 0.8 s again', async () => {
  assert.deepEqual(await play([
    { atMs: 2_950, reset: true },
    { atMs: 3_000, listedAs: 'absent', unreachable: true },
    { atMs: CHANGE_MS, listedAs: 'up' },
    { atMs: CHANGE_MS + 150, listedAs: 'absent' },
    { atMs: CHANGE_MS + 950, listedAs: 'up' }
  ]), [])
})

// The record of a term went on to name the absence of a VM whose worker had responded, and got leases, after that.
test('a worker runs on whose VM lists have left out for 1.3 s before it responded, and leave out for 0.8 s under the next leader', async () => {
  assert.deepEqual(await play([
    { atMs: 2_950, reset: true },
    { atMs: 3_000, listedAs: 'absent', unreachable: true },
    { atMs: 4_350, listedAs: 'up', unreachable: false },
    { atMs: LATE_CHANGE_MS - 50, registered: false },
    { atMs: LATE_CHANGE_MS, listedAs: 'absent', unreachable: true },
    { atMs: LATE_CHANGE_MS + 950, listedAs: 'up' }
  ], LATE_CHANGE_MS), [])
})

test('a worker runs on whose VM lists leave out for 1.3 s under one leader', async () => {
  assert.deepEqual(await play([
    { atMs: 2_950, reset: true },
    { atMs: 3_000, listedAs: 'absent', unreachable: true },
    { atMs: 4_400, listedAs: 'up' }
  ]), [])
})
