import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { planSlots, maxMinFairShares, SlotAllocator, type PoolGrant, type PoolReport } from '@wisteriaslip/routing.slots'
import { ManualClock } from '@wisteriaslip/testing.stand-ins'

const CLASSES = [{ name: 'urgent', rank: 0, floor: 0 }, { name: 'background', rank: 1, floor: 0.25 }]

function allocator (slots: number, entries: number, marks?: () => string[]): SlotAllocator {
  return new SlotAllocator({
    clock: new ManualClock(),
    token: 1,
    targets: () => [{ name: 't', zone: 'z', slots, maxSlotsPerEntry: slots, usable: true }],
    classes: () => CLASSES,
    quota: () => 1,
    maxRunMs: () => 1_000,
    possibleHolders: () => new Set(marks?.() ?? Array.from({ length: entries }, (_, index) => `e${index}`)),
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

test('nothing is granted before every possible holder has reported', () => {
  const leader = allocator(4, 2)
  assert.deepEqual(report(leader, 'e0', 1, 0)?.add, {})
  assert.deepEqual(report(leader, 'e1', 1, 1)?.add, { t: 1 })
  assert.deepEqual(report(leader, 'e0', 2, 0)?.add, { t: 2 })
})

test('an entry without slots gets one although nobody has work', () => {
  const entries = 28
  const leader = allocator(64, 20)
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

test('slots of an entry that stopped as planned are free at once', () => {
  const marks = ['e0', 'e1']
  const leader = allocator(4, 2, () => marks)
  report(leader, 'e0', 1, 0)
  report(leader, 'e1', 1, 0)
  report(leader, 'e0', 2, 2)
  assert.equal(leader.taken('t'), 4)
  marks.pop()
  assert.deepEqual(report(leader, 'e0', 3, 2)?.add, { t: 2 })
})

test('a holder whose mark is not seen yet keeps its slots', () => {
  const leader = allocator(4, 1, () => ['e0'])
  report(leader, 'late', 1, 2)
  assert.deepEqual(report(leader, 'e0', 1, 0)?.add, { t: 2 })
  report(leader, 'e0', 2, 2)
  assert.equal(leader.taken('t'), 4)
})

test('a report that comes late, or for another leader, changes nothing', () => {
  const leader = allocator(4, 1)
  report(leader, 'e0', 5, 0)
  assert.equal(report(leader, 'e0', 4, 0), undefined)
  assert.equal(leader.report({ id: 'e0', incarnation: 'e0', seq: 6, heard: true }, { pool: 'p', token: 2, held: {}, demand: [], loans: [], leaving: [] }), undefined)
  assert.equal(leader.taken('t'), 4)
})

test('shares are whole, add up, never exceed what is wanted, and are fair', () => {
  const request = fc.record({ want: fc.nat(40), weight: fc.integer({ min: 1, max: 5 }) })
  fc.assert(fc.property(fc.nat(100), fc.array(request, { minLength: 1, maxLength: 8 }), (total, wants) => {
    const requests = wants.map((each, index) => ({ id: String(index), ...each }))
    const shares = maxMinFairShares(total, requests)
    const given = requests.map(each => shares.get(each.id) ?? 0)
    assert.equal(given.reduce((sum, share) => sum + share, 0), Math.min(total, wants.reduce((sum, each) => sum + each.want, 0)))
    requests.forEach((each, index) => assert.ok((given[index] ?? 0) <= each.want))
    for (const [a, one] of requests.entries()) {
      for (const [b, other] of requests.entries()) {
        const unmet = (given[a] ?? 0) < one.want
        if (unmet) assert.ok((given[b] ?? 0) / other.weight <= ((given[a] ?? 0) + 1) / one.weight + 1 / other.weight + 1e-9)
      }
    }
  }), { seed: 2, numRuns: 2_000 })
})

test('a flood of urgent work leaves other classes their floor in the plan', () => {
  const plan = planSlots(16, [
    { entry: 'flooded', demand: [{ class: 'urgent', tenant: 'a', count: 500 }] },
    { entry: 'quiet', demand: [{ class: 'background', tenant: 'b', count: 10 }] }
  ], { classes: CLASSES, quota: () => 1 })
  assert.equal(plan.get('quiet')?.needed, 4)
  assert.equal(plan.get('flooded')?.needed, 12)
})

test('a tenant\'s quota holds over all entries', () => {
  const plan = planSlots(12, [
    { entry: 'a', demand: [{ class: 'urgent', tenant: 'flooder', count: 100 }] },
    { entry: 'b', demand: [{ class: 'urgent', tenant: 'flooder', count: 100 }] },
    { entry: 'c', demand: [{ class: 'urgent', tenant: 'quiet', count: 6 }] }
  ], { classes: CLASSES, quota: () => 1 })
  assert.equal(plan.get('c')?.needed, 6)
})
