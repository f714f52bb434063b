import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { ALLOTMENT_TTL_MS, SlotAllocator, SlotHolder, type Loan, type PoolGrant, type PoolReport, type Slot, type TargetCapacity } from '@wisteriaslip/routing.slots'
import { ManualClock } from '@wisteriaslip/testing.stand-ins'

const ENTRIES = ['a', 'b', 'c']
const MAX_RUN_MS = 1_000
const TARGETS: TargetCapacity[] = ['t1', 't2'].map(name => ({ name, zone: 'z', slots: 3, maxSlotsPerEntry: 3, usable: true }))

interface Message { readonly from: string, readonly seq: number, readonly sentAt: number, readonly heard: boolean, readonly report: PoolReport, readonly to: number }

/** Fault planted on purpose: a new leader asks nobody what they hold; or slots of silent entries are given away at once. */
type Planted = 'none' | 'asks-nobody' | 'hasty'

/** Three entries and their leaders, with a network and processes that do as the run says. */
class World {
  readonly clock = new ManualClock()
  readonly holders = new Map<string, SlotHolder>()
  readonly slots = new Map<string, Array<{ slot: Slot, endsAt: number }>>()
  readonly waiting = new Map<string, number>()
  readonly heardAt = new Map<string, number>()
  readonly latestSeq = new Map<string, number>()
  leaders: Array<SlotAllocator | undefined> = []
  token = 0
  readonly planted: Planted

  constructor (planted: Planted) {
    this.planted = planted
    for (const id of ENTRIES) {
      this.waiting.set(id, 0)
      this.slots.set(id, [])
      this.holders.set(id, new SlotHolder({
        pool: 'p',
        ownIncarnation: id,
        zone: 'z',
        clock: this.clock,
        target: () => ({ zone: 'z', usable: true }),
        demand: () => [{ class: 'c', tenant: 't', count: (this.waiting.get(id) ?? 0) + (this.slots.get(id)?.length ?? 0) }],
        onSlotsAvailable: () => {},
        onReportNeeded: () => {}
      }))
    }
    this.elect()
  }

  /** A new leader; the one before acts on as long as it believes in its lease, which `elect` waits out. */
  elect (): void {
    this.token += 1
    this.leaders = [...this.leaders.map(() => undefined), new SlotAllocator({
      clock: this.clock,
      token: this.token,
      targets: () => TARGETS,
      classes: () => [{ name: 'c', rank: 0, floor: 0 }],
      quota: () => 1,
      maxRunMs: () => this.planted === 'hasty' ? -ALLOTMENT_TTL_MS : MAX_RUN_MS,
      possibleHolders: () => new Set(this.planted === 'asks-nobody' ? [] : ENTRIES),
      isMajority: entries => this.planted === 'hasty' || entries >= 2,
      isLeaseValid: () => true,
      zoneOf: () => 'z',
      nudge: () => {}
    })]
  }

  send (id: string): Message {
    const holder = this.holder(id)
    holder.follow(this.token)
    const seq = (this.latestSeq.get(id) ?? 0) + 1
    this.latestSeq.set(id, seq)
    const heard = this.clock.now() - (this.heardAt.get(id) ?? -1e9) < 3_000
    return { from: id, seq, sentAt: this.clock.now(), heard, report: holder.report(), to: this.leaders.length - 1 }
  }

  /** @returns the grant, undefined when the leader is gone or refuses */
  deliver (message: Message): PoolGrant | undefined {
    return this.leaders[message.to]?.report({ id: message.from, incarnation: message.from, seq: message.seq, heard: message.heard }, message.report)
  }

  /** An entry takes an answer only to its latest report. */
  answer (message: Message, grant: PoolGrant): void {
    if (this.latestSeq.get(message.from) !== message.seq) return
    this.heardAt.set(message.from, this.clock.now())
    this.holder(message.from).applyGrant(message.sentAt, grant)
  }

  start (id: string): void {
    const slot = this.holder(id).acquire()
    if (slot !== undefined) this.slots.get(id)?.push({ slot, endsAt: this.clock.now() + MAX_RUN_MS })
  }

  end (id: string): void {
    this.slots.get(id)?.shift()?.slot.release()
  }

  /** Time goes on; no run lasts longer than the longest run, whatever its entry does. */
  pass (ms: number): void {
    this.clock.advance(ms)
    for (const [id, slots] of this.slots) {
      const over = slots.filter(each => each.endsAt <= this.clock.now())
      this.slots.set(id, slots.filter(each => each.endsAt > this.clock.now()))
      for (const { slot } of over) slot.release()
    }
  }

  borrow (from: string, to: string, lost: boolean): void {
    const loans: Loan[] = this.holder(from).lend(to, 1)
    if (!lost) this.holder(to).borrow(loans)
  }

  /** The entries that do not hear the leader hold over if most entries do not. */
  holdOver (): void {
    const deaf = ENTRIES.filter(id => this.clock.now() - (this.heardAt.get(id) ?? -1e9) >= ALLOTMENT_TTL_MS)
    if (deaf.length < 2) return
    for (const id of deaf) this.holder(id).renew(this.clock.now(), this.token)
  }

  overrun (): string | undefined {
    for (const target of TARGETS) {
      let busy = 0
      for (const holder of this.holders.values()) busy += holder.busyOn(target.name)
      if (busy > target.slots) return `${busy} on ${target.name}`
    }
    return undefined
  }

  holder (id: string): SlotHolder {
    return this.holders.get(id) as SlotHolder
  }
}

type Step =
  | { kind: 'exchange', entry: string, fate: 'fine' | 'lost' | 'reply-lost' | 'late' }
  | { kind: 'late-delivery' }
  | { kind: 'wait', entry: string, count: number }
  | { kind: 'start' | 'end', entry: string }
  | { kind: 'pass', ms: number }
  | { kind: 'elect' }
  | { kind: 'borrow', entry: string, other: string, lost: boolean }
  | { kind: 'hold-over' }

const entry = fc.constantFrom(...ENTRIES)
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('exchange' as const), entry, fate: fc.constantFrom('fine' as const, 'fine' as const, 'fine' as const, 'lost' as const, 'reply-lost' as const, 'late' as const) }) },
  { weight: 1, arbitrary: fc.constant({ kind: 'late-delivery' as const }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('wait' as const), entry, count: fc.nat(8) }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('start' as const), entry }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('end' as const), entry }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('pass' as const), ms: fc.constantFrom(50, 300, 1_000, 4_000, 12_000) }) },
  { weight: 1, arbitrary: fc.constant({ kind: 'elect' as const }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('borrow' as const), entry, other: entry, lost: fc.boolean() }) },
  { weight: 1, arbitrary: fc.constant({ kind: 'hold-over' as const }) }
)

function play (world: World, steps: readonly Step[]): string | undefined {
  const late: Message[] = []
  for (const each of steps) {
    perform(world, each, late)
    const overrun = world.overrun()
    if (overrun !== undefined) return overrun
  }
  return undefined
}

function perform (world: World, each: Step, late: Message[]): void {
  switch (each.kind) {
    case 'exchange': return exchange(world, each, late)
    case 'late-delivery': {
      const message = late.shift()
      if (message !== undefined) world.deliver(message)
      return
    }
    case 'wait': world.waiting.set(each.entry, each.count); return
    case 'start': return world.start(each.entry)
    case 'end': return world.end(each.entry)
    case 'pass': return world.pass(each.ms)
    case 'elect': return world.elect()
    case 'borrow': if (each.entry !== each.other) world.borrow(each.entry, each.other, each.lost); return
    case 'hold-over': return world.holdOver()
  }
}

function exchange (world: World, each: Extract<Step, { kind: 'exchange' }>, late: Message[]): void {
  const message = world.send(each.entry)
  if (each.fate === 'late') late.push(message)
  if (each.fate === 'lost' || each.fate === 'late') return
  const grant = world.deliver(message)
  if (grant !== undefined && each.fate === 'fine') world.answer(message, grant)
}

const steps = fc.array(step, { minLength: 20, maxLength: 120 })

test('no slot is ever used twice, whatever is lost, late, paused or taken over', () => {
  const numRuns = Number(process.env.WISTERIASLIP_RUNS ?? 1_500)
  fc.assert(fc.property(steps, run => {
    assert.equal(play(new World('none'), run), undefined)
  }), { seed: 41, numRuns })
})

for (const planted of ['asks-nobody', 'hasty'] as const) {
  test(`a planted fault is caught: ${planted}`, () => {
    const caught = fc.check(fc.property(steps, run => play(new World(planted), run) === undefined), { seed: 41, numRuns: 1_500 })
    assert.equal(caught.failed, true)
  })
}
