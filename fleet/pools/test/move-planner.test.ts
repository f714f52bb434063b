import assert from 'node:assert/strict'
import { test } from 'node:test'
import { requiredBufferSize, MovePlanner, type MovablePool, type Move } from '@wisteriaslip/fleet.pools'

const STEP_MS = 1_000

/** Two pools and a spare pool. Moves take effect immediately. */
class SimulatedFleet {
  readonly vms: Record<string, string[]> = { quoting: ['q1', 'q2', 'q3'], surveys: ['s1', 's2', 's3'], extra: ['x1', 'x2', 'x3', 'x4'] }
  readonly demand: Record<string, number> = { quoting: 0, surveys: 0, extra: 0 }
  readonly moves: Move[] = []
  readonly planner: MovePlanner
  private now = 0

  constructor (buffer: number) {
    this.planner = new MovePlanner({ requiredBuffer: () => buffer, isEligible: (vm, pool) => vm.startsWith('x') || vm.startsWith(pool.slice(0, 1)) })
  }

  advance (ms: number, onStep: (now: number) => void = () => {}): void {
    for (const end = this.now + ms; this.now < end; this.now += STEP_MS) {
      onStep(this.now)
      for (const move of this.planner.plan(this.pools(), this.now)) this.applyMove(move)
    }
  }

  private pools (): MovablePool[] {
    return Object.entries(this.vms).map(([name, vms]) => ({ name, spare: name === 'extra', vms, capacity: vms.length * 8, demand: this.demand[name] ?? 0, canReleaseVm: true }))
  }

  private applyMove (move: Move): void {
    this.moves.push(move)
    this.vms[move.from] = (this.vms[move.from] ?? []).filter(vm => vm !== move.vm)
    this.vms[move.to]?.push(move.vm)
  }
}

test('a pool with lasting demand gets a VM from the spare pool and returns it when the demand has dropped', () => {
  const fleet = new SimulatedFleet(2)
  fleet.demand.quoting = 24
  fleet.advance(300_000)
  assert.equal(fleet.vms.quoting?.length, 4)
  fleet.demand.quoting = 2
  fleet.advance(900_000)
  assert.deepEqual(fleet.vms.extra?.sort(), ['x1', 'x2', 'x3', 'x4'])
  assert.deepEqual(fleet.vms.quoting, ['q1', 'q2', 'q3'])
})

test('short alternating peaks cause no moves', () => {
  const fleet = new SimulatedFleet(0)
  fleet.advance(1_200_000, now => {
    const cycleStep = Math.floor(now / 5_000) % 10
    fleet.demand.quoting = cycleStep === 0 ? 36 : 1
    fleet.demand.surveys = cycleStep === 5 ? 36 : 1
  })
  assert.deepEqual(fleet.moves, [])
})

test('the required buffer stays in the spare pool', () => {
  const fleet = new SimulatedFleet(3)
  fleet.demand.quoting = 100
  fleet.demand.surveys = 100
  fleet.advance(1_200_000)
  assert.equal(fleet.vms.extra?.length, 3)
})

test('demand that oscillates around the threshold does not move VMs back and forth', () => {
  const fleet = new SimulatedFleet(0)
  fleet.advance(1_800_000, now => { fleet.demand.quoting = now % 60_000 < 30_000 ? 22 : 18 })
  assert.ok(fleet.moves.length <= 2, String(fleet.moves.length))
})

test('a buffer shared by all pools is sized for the loss of the worst rack', () => {
  const pools = ['a', 'b', 'c'].map(pool => ({ pool, requiredVms: 8, racks: [1, 2].flatMap(rack => [1, 2, 3, 4].map(() => `${pool}-${rack}`)) }))
  assert.equal(requiredBufferSize(pools), 4)
  assert.equal(requiredBufferSize(pools.map(pool => ({ ...pool, requiredVms: 5 }))), 1)
})
