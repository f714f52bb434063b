import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { ALLOTMENT_TTL_MS, SlotAllocator, SlotHolder, type Loan, type PoolGrant, type PoolReport, type Slot, type TargetCapacity } from '@wisteriaslip/routing.slots'
import { ManualClock } from '@wisteriaslip/testing.stand-ins'

const ENTRIES = ['a', 'b', 'c']
const MAX_RUN_MS = 1_000
const TARGETS: TargetCapacity[] = ['t1', 't2'].map(name => ({ name, zone: 'z', slots: 3, maxSlotsPerEntry: 3, usable: true }))

interface Message { readonly from: string, readonly seq: number, readonly sentAt: number, readonly heard: boolean, readonly report: PoolReport, readonly to: number }

/**
 * Bug injected on purpose: a new leader does not wait for the reports of possible holders, or slots of unresponsive
 * entries are reassigned immediately.
 */
type InjectedBug = 'none' | 'ignores-holders' | 'expires-early'

/** Simulates three entries and their leaders. The test decides what happens to messages, processes and time. */
class Simulation {
  readonly clock = new ManualClock()
  readonly holders = new Map<string, SlotHolder>()
  readonly slots = new Map<string, Array<{ slot: Slot, endsAt: number }>>()
  readonly waiting = new Map<string, number>()
  readonly lastReplyAt = new Map<string, number>()
  readonly latestSeq = new Map<string, number>()
  leaders: Array<SlotAllocator | undefined> = []
  token = 0
  readonly injectedBug: InjectedBug

  constructor (injectedBug: InjectedBug) {
    this.injectedBug = injectedBug
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
    this.electLeader()
  }

  /** Replaces the leader. The previous leader no longer handles messages, as if its lease had expired. */
  electLeader (): void {
    this.token += 1
    this.leaders = [...this.leaders.map(() => undefined), new SlotAllocator({
      clock: this.clock,
      token: this.token,
      targets: () => TARGETS,
      classes: () => [{ name: 'c', rank: 0, floor: 0 }],
      quota: () => 1,
      maxRunMs: () => this.injectedBug === 'expires-early' ? -ALLOTMENT_TTL_MS : MAX_RUN_MS,
      possibleHolders: () => new Set(this.injectedBug === 'ignores-holders' ? [] : ENTRIES),
      isMajority: entries => this.injectedBug === 'expires-early' || entries >= 2,
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
    const heard = this.clock.now() - (this.lastReplyAt.get(id) ?? -1e9) < 3_000
    return { from: id, seq, sentAt: this.clock.now(), heard, report: holder.report(), to: this.leaders.length - 1 }
  }

  /** @returns the grant, or undefined if the leader has been replaced or ignores the report */
  deliver (message: Message): PoolGrant | undefined {
    return this.leaders[message.to]?.report({ id: message.from, incarnation: message.from, seq: message.seq, heard: message.heard }, message.report)
  }

  /** Applies a reply unless the entry has sent another report in the meantime. */
  applyReply (message: Message, grant: PoolGrant): void {
    if (this.latestSeq.get(message.from) !== message.seq) return
    this.lastReplyAt.set(message.from, this.clock.now())
    this.holder(message.from).applyGrant(message.sentAt, grant)
  }

  start (id: string): void {
    const slot = this.holder(id).acquire()
    if (slot !== undefined) this.slots.get(id)?.push({ slot, endsAt: this.clock.now() + MAX_RUN_MS })
  }

  end (id: string): void {
    this.slots.get(id)?.shift()?.slot.release()
  }

  /** Advances the clock and ends all requests that have reached the maximum run time. */
  advanceTime (ms: number): void {
    this.clock.advance(ms)
    for (const [id, slots] of this.slots) {
      const expired = slots.filter(each => each.endsAt <= this.clock.now())
      this.slots.set(id, slots.filter(each => each.endsAt > this.clock.now()))
      for (const { slot } of expired) slot.release()
    }
  }

  borrow (from: string, to: string, lost: boolean): void {
    const loans: Loan[] = this.holder(from).lend(to, 1)
    if (!lost) this.holder(to).borrow(loans)
  }

  /** Entries that receive no replies from the leader extend their allotments if they are a majority. */
  extendWithoutLeader (): void {
    const disconnected = ENTRIES.filter(id => this.clock.now() - (this.lastReplyAt.get(id) ?? -1e9) >= ALLOTMENT_TTL_MS)
    if (disconnected.length < 2) return
    for (const id of disconnected) this.holder(id).renew(this.clock.now(), this.token)
  }

  findOveruse (): string | undefined {
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
  | { kind: 'exchange', entry: string, delivery: 'fine' | 'lost' | 'reply-lost' | 'late' }
  | { kind: 'late-delivery' }
  | { kind: 'wait', entry: string, count: number }
  | { kind: 'start' | 'end', entry: string }
  | { kind: 'pass', ms: number }
  | { kind: 'elect' }
  | { kind: 'borrow', entry: string, other: string, lost: boolean }
  | { kind: 'extend-without-leader' }

const entry = fc.constantFrom(...ENTRIES)
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('exchange' as const), entry, delivery: fc.constantFrom('fine' as const, 'fine' as const, 'fine' as const, 'lost' as const, 'reply-lost' as const, 'late' as const) }) },
  { weight: 1, arbitrary: fc.constant({ kind: 'late-delivery' as const }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('wait' as const), entry, count: fc.nat(8) }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('start' as const), entry }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('end' as const), entry }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('pass' as const), ms: fc.constantFrom(50, 300, 1_000, 4_000, 12_000) }) },
  { weight: 1, arbitrary: fc.constant({ kind: 'elect' as const }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('borrow' as const), entry, other: entry, lost: fc.boolean() }) },
  { weight: 1, arbitrary: fc.constant({ kind: 'extend-without-leader' as const }) }
)

function runSteps (simulation: Simulation, steps: readonly Step[]): string | undefined {
  const late: Message[] = []
  for (const each of steps) {
    applyStep(simulation, each, late)
    const overuse = simulation.findOveruse()
    if (overuse !== undefined) return overuse
  }
  return undefined
}

function applyStep (simulation: Simulation, each: Step, late: Message[]): void {
  switch (each.kind) {
    case 'exchange': return exchange(simulation, each, late)
    case 'late-delivery': {
      const message = late.shift()
      if (message !== undefined) simulation.deliver(message)
      return
    }
    case 'wait': simulation.waiting.set(each.entry, each.count); return
    case 'start': return simulation.start(each.entry)
    case 'end': return simulation.end(each.entry)
    case 'pass': return simulation.advanceTime(each.ms)
    case 'elect': return simulation.electLeader()
    case 'borrow': if (each.entry !== each.other) simulation.borrow(each.entry, each.other, each.lost); return
    case 'extend-without-leader': return simulation.extendWithoutLeader()
  }
}

function exchange (simulation: Simulation, each: Extract<Step, { kind: 'exchange' }>, late: Message[]): void {
  const message = simulation.send(each.entry)
  if (each.delivery === 'late') late.push(message)
  if (each.delivery === 'lost' || each.delivery === 'late') return
  const grant = simulation.deliver(message)
  if (grant !== undefined && each.delivery === 'fine') simulation.applyReply(message, grant)
}

const steps = fc.array(step, { minLength: 20, maxLength: 120 })

test('no slot is used twice when messages are lost or late, time jumps, leaders change or slots are lent', () => {
  const numRuns = Number(process.env.WISTERIASLIP_RUNS ?? 1_500)
  fc.assert(fc.property(steps, run => {
    assert.equal(runSteps(new Simulation('none'), run), undefined)
  }), { seed: 41, numRuns })
})

for (const injectedBug of ['ignores-holders', 'expires-early'] as const) {
  test(`an injected bug is detected: ${injectedBug}`, () => {
    const runDetails = fc.check(fc.property(steps, run => runSteps(new Simulation(injectedBug), run) === undefined), { seed: 41, numRuns: 1_500 })
    assert.equal(runDetails.failed, true)
  })
}
