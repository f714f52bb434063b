import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { resolveMaxUnavailable, type PoolDoc } from '@wisteriaslip/config.documents'
import { Metrics } from '@wisteriaslip/core.metrics'
import { LedgerStore, addDisruption, type Disruption, type PoolLedger } from '@wisteriaslip/fleet.ledger'
import { StoreClient } from '@wisteriaslip/store.client'
import { ManualClock, MemoryDriver, type DriverFault } from '@wisteriaslip/testing.stand-ins'

const VMS = ['v1', 'v2', 'v3', 'v4', 'v5']
const DISRUPTION: Disruption = { reason: 'maintenance', wave: 'w', phase: 'draining', since: 0 }
const OPTS = { ledgers: 'ledgers/', assignments: 'assignments/' }

function poolDoc (name: string, maxUnavailable: number): PoolDoc {
  return { kind: 'pool', name, labels: {}, selector: {}, order: 0, spare: false, budget: { maxUnavailable } }
}

class Actor {
  readonly store: StoreClient
  readonly ledgers: LedgerStore
  token = 0

  constructor (driver: MemoryDriver) {
    this.store = new StoreClient(driver, { readsPerSecond: 1e6, writesPerSecond: 1e6, metrics: new Metrics(), clock: new ManualClock() })
    this.ledgers = new LedgerStore(this.store, OPTS)
  }

  guard () {
    return { key: 'leader', createRevision: this.token }
  }

  async lead (): Promise<void> {
    const prior = await this.store.get('leader')
    if (!prior.ok) return
    if (prior.value !== undefined) await this.store.update([{ key: 'leader', prior: prior.value, value: undefined }])
    const written = await this.store.update([{ key: 'leader', prior: undefined, value: 'x' }])
    if (written.ok) this.token = written.value
  }
}

const step = fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('take' as const), actor: fc.nat(1), vm: fc.constantFrom(...VMS), pool: fc.constantFrom('p', 'q') }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('free' as const), actor: fc.nat(1), vm: fc.constantFrom(...VMS), pool: fc.constantFrom('p', 'q') }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('move' as const), actor: fc.nat(1), vm: fc.constantFrom(...VMS), pool: fc.constantFrom('p', 'q') }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('lead' as const), actor: fc.nat(1), vm: fc.constant('v1'), pool: fc.constant('p') }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('fail' as const), actor: fc.constant(0), vm: fc.constantFrom(...VMS), pool: fc.constant('p') }) }
)

interface Fixture { readonly driver: MemoryDriver, readonly actors: Actor[], readonly failed: Set<string>, readonly poolDocOf: (pool: string) => PoolDoc }

async function runStep (fixture: Fixture, each: { kind: string, actor: number, vm: string, pool: string }): Promise<void> {
  const actor = fixture.actors[each.actor] as Actor
  const pool = fixture.poolDocOf(each.pool)
  const ledgers = actor.ledgers
  switch (each.kind) {
    case 'take': await ledgers.updateLedger(each.pool, actor.guard(), ledger => addDisruption(pool, ledger, each.vm, DISRUPTION, { failed: fixture.failed })); return
    case 'free': await ledgers.updateLedger(each.pool, actor.guard(), ledger => ({ ok: true, value: { ...ledger, places: Object.fromEntries(Object.entries(ledger.places).filter(([vm]) => vm !== each.vm)) } })); return
    case 'move': await moveDrained(actor, each.vm, each.pool); return
    case 'lead': await actor.lead(); return
    case 'fail': fixture.failed.add(each.vm)
  }
}

/** Assigns a VM to another pool, which is allowed only once its disruption for a move is recorded. */
async function moveDrained (actor: Actor, vm: string, to: string): Promise<void> {
  const assigned = await actor.store.get(`assignments/${vm}`)
  const from = assigned.ok ? (assigned.value?.value as { pool: string } | undefined)?.pool : undefined
  if (from === undefined || from === to) return
  const added = await actor.ledgers.updateLedger(from, actor.guard(), ledger => addDisruption(poolDoc(from, 2), ledger, vm, { ...DISRUPTION, reason: 'move', to }, { failed: new Set() }))
  if (added.ok) await actor.ledgers.moveVm(vm, to, [actor.guard()])
}

async function checkInvariants (fixture: Fixture): Promise<void> {
  const reader = new Actor(fixture.driver)
  const members: string[] = []
  for (const name of ['p', 'q']) {
    const doc = await reader.store.get(`ledgers/${name}`)
    const ledger = (doc.ok ? doc.value?.value : undefined) as PoolLedger | undefined
    if (ledger === undefined) continue
    members.push(...ledger.members)
    const disrupted = Object.keys(ledger.places).length
    assert.ok(disrupted <= resolveMaxUnavailable(fixture.poolDocOf(name), Math.max(ledger.members.length, 1)) || disrupted === 0, `${name}: ${disrupted} disruptions`)
    for (const vm of ledger.members) {
      const assigned = await reader.store.get(`assignments/${vm}`)
      assert.equal(assigned.ok && (assigned.value?.value as { pool: string }).pool, name)
    }
  }
  assert.equal(new Set(members).size, members.length, 'a VM is a member of two pools')
}

test('budgets hold and each VM is in one pool with racing leaders, lost calls, lost replies and leader changes', async () => {
  const fault = fc.constantFrom<DriverFault>('fine', 'fine', 'fine', 'lose-call', 'lose-reply')
  await fc.assert(fc.asyncProperty(fc.array(fc.tuple(step, step), { maxLength: 15 }), fc.array(fault, { maxLength: 8 }), async (pairs, faults) => {
    const driver = new MemoryDriver()
    const fixture: Fixture = { driver, actors: [new Actor(driver), new Actor(driver)], failed: new Set(), poolDocOf: name => poolDoc(name, 2) }
    await fixture.actors[0]?.lead()
    for (const vm of VMS) await fixture.actors[0]?.ledgers.moveVm(vm, 'p', [])
    driver.faults.push(...faults)
    for (const pair of pairs) {
      await Promise.all(pair.map(async each => await runStep(fixture, each)))
      await checkInvariants(fixture)
    }
  }), { seed: 9, numRuns: 60 })
})

test('a write by a former leader is rejected', async () => {
  const driver = new MemoryDriver()
  const [formerLeader, newLeader] = [new Actor(driver), new Actor(driver)]
  await formerLeader.lead()
  await formerLeader.ledgers.moveVm('v1', 'p', [])
  await newLeader.lead()
  const added = await formerLeader.ledgers.updateLedger('p', formerLeader.guard(), ledger => addDisruption(poolDoc('p', 1), ledger, 'v1', DISRUPTION, { failed: new Set() }))
  assert.equal(!added.ok && added.error.kind, 'conflict')
})

test('failed VMs count against the budget', () => {
  const ledger: PoolLedger = { members: VMS, places: {}, waves: {} }
  const added = addDisruption(poolDoc('p', 1), ledger, 'v1', DISRUPTION, { failed: new Set(['v2']) })
  assert.equal(!added.ok && added.error.kind, 'no-room')
  assert.ok(addDisruption(poolDoc('p', 1), ledger, 'v2', DISRUPTION, { failed: new Set(['v2']) }).ok)
})
