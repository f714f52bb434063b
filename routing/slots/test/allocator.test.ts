import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { maxMinFairShares, planSlots, SlotAllocator, type PoolGrant, type PoolReport } from '@wisteriaslip/routing.slots'
import { ManualClock } from '@wisteriaslip/testing.stand-ins'

const CLASSES = [{ name: 'urgent', rank: 0, floor: 0 }, { name: 'background', rank: 1, floor: 0.25 }]

function createAllocator (slots: number, entries: number, holderRecords?: () => string[]): SlotAllocator {
  return new SlotAllocator({
    clock: new ManualClock(),
    token: 1,
    targets: () => [{ name: 't', zone: 'z', slots, maxSlotsPerEntry: slots, usable: true }],
    classes: () => CLASSES,
    quota: () => 1,
    maxRunMs: () => 1_000,
    possibleHolders: () => new Set(holderRecords?.() ?? Array.from({ length: entries }, (_, index) => `e${index}`)),
    isMajority: () => true,
    isLeaseValid: () => true,
    zoneOf: () => 'z',
    nudge: () => {}
  })
}

function report (to: SlotAllocator, entry: string, seq: number, held: number, count = 0): PoolGrant | undefined {
  const demand = count === 0 ? [] : [{ class: 'urgent', tenant: 't', count }]
  const message: PoolReport = { pool: 'p', token: 1, held: { t: held }, demand, loans: [], leaving: [] }
  return to.report({ id: entry, incarnation: entry, seq, heard: true }, message)
}

test('no slots are granted before every possible holder has reported', () => {
  const leader = createAllocator(4, 2)
  assert.deepEqual(report(leader, 'e0', 1, 0)?.add, {})
  assert.deepEqual(report(leader, 'e1', 1, 1)?.add, { t: 1 })
  assert.deepEqual(report(leader, 'e0', 2, 0)?.add, { t: 2 })
})

test('an entry without slots is granted one even if there is no demand', () => {
  const entries = 28
  const leader = createAllocator(64, 20)
  const held = new Map<string, number>()
  for (let round = 1; round <= 40; round++) {
    for (let index = 0; index < (round <= 20 ? 20 : entries); index++) {
      const entry = `e${index}`
      const grant = report(leader, entry, round, held.get(entry) ?? 0)
      held.set(entry, Math.max(0, (held.get(entry) ?? 0) + (grant?.add.t ?? 0) - (grant?.giveBack ?? 0)))
    }
  }
  const least = Math.min(...Array.from({ length: entries }, (_, index) => held.get(`e${index}`) ?? 0))
  assert.ok(least >= 1, JSON.stringify([...held]))
})

test('slots of an entry that shut down in an orderly way are free immediately', () => {
  const holderRecords = ['e0', 'e1']
  const leader = createAllocator(4, 2, () => holderRecords)
  report(leader, 'e0', 1, 0)
  report(leader, 'e1', 1, 0)
  report(leader, 'e0', 2, 2)
  assert.equal(leader.taken('t'), 4)
  holderRecords.pop()
  assert.deepEqual(report(leader, 'e0', 3, 2)?.add, { t: 2 })
})

test('a holder whose holder record is not visible yet keeps its slots', () => {
  const leader = createAllocator(4, 1, () => ['e0'])
  report(leader, 'late', 1, 2)
  assert.deepEqual(report(leader, 'e0', 1, 0)?.add, { t: 2 })
  report(leader, 'e0', 2, 2)
  assert.equal(leader.taken('t'), 4)
})

test('a report that arrives out of order or is meant for another leader is ignored', () => {
  const leader = createAllocator(4, 1)
  report(leader, 'e0', 5, 0)
  assert.equal(report(leader, 'e0', 4, 0), undefined)
  assert.equal(leader.report({ id: 'e0', incarnation: 'e0', seq: 6, heard: true }, { pool: 'p', token: 2, held: {}, demand: [], loans: [], leaving: [] }), undefined)
  assert.equal(leader.taken('t'), 4)
})

test('shares are whole units, add up to the total, never exceed their upper bounds, and are fair', () => {
  const request = fc.record({ maxUnits: fc.nat(40), weight: fc.integer({ min: 1, max: 5 }) })
  fc.assert(fc.property(fc.nat(100), fc.array(request, { minLength: 1, maxLength: 8 }), (total, participants) => {
    const requests = participants.map((each, index) => ({ id: String(index), ...each }))
    const shares = maxMinFairShares(total, requests)
    const given = requests.map(each => shares.get(each.id) ?? 0)
    assert.equal(given.reduce((sum, share) => sum + share, 0), Math.min(total, participants.reduce((sum, each) => sum + each.maxUnits, 0)))
    requests.forEach((each, index) => assert.ok((given[index] ?? 0) <= each.maxUnits))
    for (const [a, one] of requests.entries()) {
      for (const [b, other] of requests.entries()) {
        const isUnsatisfied = (given[a] ?? 0) < one.maxUnits
        if (isUnsatisfied) assert.ok((given[b] ?? 0) / other.weight <= ((given[a] ?? 0) + 1) / one.weight + 1 / other.weight + 1e-9)
      }
    }
  }), { seed: 2, numRuns: 2_000 })
})

test('overload of an urgent class leaves other classes their guaranteed share in the plan', () => {
  const plan = planSlots(16, [
    { entry: 'flooded', demand: [{ class: 'urgent', tenant: 'a', count: 500 }] },
    { entry: 'quiet', demand: [{ class: 'background', tenant: 'b', count: 10 }] }
  ], { classes: CLASSES, quota: () => 1 })
  assert.equal(plan.get('quiet')?.needed, 4)
  assert.equal(plan.get('flooded')?.needed, 12)
})

test('the quota of a client account applies across all entries', () => {
  const plan = planSlots(12, [
    { entry: 'a', demand: [{ class: 'urgent', tenant: 'flooder', count: 100 }] },
    { entry: 'b', demand: [{ class: 'urgent', tenant: 'flooder', count: 100 }] },
    { entry: 'c', demand: [{ class: 'urgent', tenant: 'quiet', count: 6 }] }
  ], { classes: CLASSES, quota: () => 1 })
  assert.equal(plan.get('c')?.needed, 6)
})
