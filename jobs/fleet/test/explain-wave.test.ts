import assert from 'node:assert/strict'
import { test } from 'node:test'
import { DownVms, waitReasons, WaveTracker, type FleetSnapshot } from '@wisteriaslip/jobs.fleet'
import type { Vm } from '@wisteriaslip/jobs.model'
import { vmWaits, type WaitContext } from '../src/explain-wave.ts'

const VM = 'v1'
const NOW = 1_000

interface Situation {
  /** State in which the VM is listed; undefined if it is not listed. */
  readonly state?: Vm['state'] | undefined
  readonly runs?: number
  /** Whether another wave has taken the VM down. */
  readonly isDown?: boolean
  /** Whether its drain has given way. */
  readonly rests?: boolean
  readonly context?: Partial<Omit<WaitContext, 'fleet'>>
  readonly mark?: (wave: WaveTracker) => void
}

/** Returns what the VM of a wave waits for. By default it is up, idle and not planned, and the limit is not reached. */
function waitsFor (situation: Situation): string | undefined {
  const { state, runs, context, mark, isDown, rests } = { state: 'up' as const, runs: 0, ...situation }
  const wave = new WaveTracker({ number: 1, vms: [VM], cap: 1, durationMs: 10_000, createRevision: 1, revision: 1 }, { now: NOW })
  mark?.(wave)
  const down = new DownVms(2_000)
  if (isDown === true) down.add(VM, NOW)
  const vm: Vm | undefined = state === undefined ? undefined : { id: VM, pool: 'p', state, zone: 'z', rack: 'r', labels: [], capacity: { cpu: 1, memMb: 1, accelerators: 0 }, worker: '' }
  const fleet: FleetSnapshot = { vms: new Map(vm === undefined ? [] : [[VM, vm]]), down, load: () => ({ runs, lastingRuns: 0 }), drained: new Set(), resting: new Set(rests === true ? [VM] : []), now: NOW }
  return vmWaits(wave, VM, { fleet, unreadable: new Set(), planned: false, plannedElsewhere: false, drained: false, limitReached: false, ...context })
}

const cases: ReadonlyArray<[string, string | undefined, Situation]> = [
  ['has its turn later', waitReasons.schedule, {}],
  ['has given way', waitReasons.gaveWay, { rests: true }],
  ['is not planned while the limit is reached', waitReasons.limit, { context: { limitReached: true } }],
  ['is drained and not requested', waitReasons.limit, { context: { planned: true, drained: true } }],
  ['is planned and has runs', waitReasons.draining, { runs: 2, context: { planned: true } }],
  ['is planned and idle, but not known to be drained', waitReasons.workerSilent, { context: { planned: true } }],
  ['is planned for another wave', waitReasons.otherWave, { context: { plannedElsewhere: true } }],
  ['is in maintenance for another wave', waitReasons.otherWave, { state: 'maintenance', isDown: true }],
  ['is down', waitReasons.vmDown, { state: 'down' }],
  ['is moving', waitReasons.vmMoving, { state: 'moving' }],
  ['is not listed', waitReasons.notListed, { state: undefined }],
  ['cannot be decoded', waitReasons.unreadable, { state: undefined, context: { unreadable: new Set([VM]) } }],
  ['has a request without a response', waitReasons.unanswered, { mark: wave => wave.markRequested(VM, NOW) }],
  ['was refused', 'REFUSED_WAVE', { mark: wave => wave.markRefused(VM, 'wave', NOW) }],
  ['has begun', undefined, { mark: wave => wave.markBegun(VM, NOW) }],
  ['is gone', undefined, { mark: wave => wave.markGone(VM, NOW) }]
]

for (const [what, reason, situation] of cases) {
  test(`a VM that ${what} waits for ${reason ?? 'nothing'}`, () => assert.equal(waitsFor(situation), reason))
}
