import assert from 'node:assert/strict'
import { test } from 'node:test'
import { PoolQueue, type Admission, type QueueRequest } from '@wisteriaslip/routing.admission'
import { ManualClock } from '@wisteriaslip/testing.stand-ins'

const CLASSES = new Map([
  ['urgent', { name: 'urgent', rank: 0, floor: 0 }],
  ['normal', { name: 'normal', rank: 1, floor: 0.25 }],
  ['background', { name: 'background', rank: 2, floor: 0.25 }]
])

interface Slot { release (): void }

/** A queue with a fixed number of slots, on a manual clock; each request runs for a given time. */
class QueueHarness {
  readonly clock = new ManualClock()
  readonly queue: PoolQueue<Slot>
  readonly served: Array<{ class: string, tenant: string }> = []
  readonly refused: string[] = []
  private readonly running: Array<{ endsAt: number, done: () => void }> = []
  private free: number

  constructor (slots: number, quota: (tenant: string) => number = () => 1) {
    this.free = slots
    this.queue = new PoolQueue<Slot>({
      clock: this.clock,
      classes: () => CLASSES,
      quota,
      acquire: () => {
        if (this.free === 0) return undefined
        this.free -= 1
        return { release: () => { this.free += 1 } }
      },
      slotsHeld: () => slots,
      maxQueuedBytes: 1_000,
      onStarved: () => {}
    })
  }

  submit (request: Partial<QueueRequest>, runMs = 10): void {
    const full = { class: 'normal', tenant: 't', deadlineAt: this.clock.now() + 100_000, bytes: 1, signal: new AbortController().signal, ...request }
    this.queue.admit(full).then(admission => this.handleAdmission(admission, full, runMs)).catch(assert.ifError)
  }

  async advanceTime (ms: number, onStep: () => void = () => {}): Promise<void> {
    for (let step = 0; step < ms; step += 10) {
      onStep()
      this.clock.advance(10)
      for (const run of this.running.filter(run => run.endsAt <= this.clock.now())) {
        this.running.splice(this.running.indexOf(run), 1)
        run.done()
      }
      this.queue.dispatch()
      await new Promise(resolve => setImmediate(resolve))
    }
  }

  count (className: string, tenant?: string): number {
    return this.served.filter(each => each.class === className && (tenant === undefined || each.tenant === tenant)).length
  }

  private handleAdmission (admission: Admission<Slot>, request: QueueRequest, runMs: number): void {
    if (!admission.ok) {
      this.refused.push(admission.refusal.code)
      return
    }
    this.served.push({ class: request.class, tenant: request.tenant })
    this.running.push({ endsAt: this.clock.now() + runMs, done: () => admission.done() })
  }
}

test('urgent requests are served first', async () => {
  const harness = new QueueHarness(1)
  harness.submit({ class: 'background' })
  for (let index = 0; index < 5; index++) harness.submit({ class: 'background' })
  harness.submit({ class: 'urgent' })
  await harness.advanceTime(20)
  assert.deepEqual(harness.served.slice(0, 2).map(each => each.class), ['background', 'urgent'])
})

test('overload of an urgent class leaves other classes their guaranteed shares', async () => {
  const harness = new QueueHarness(4)
  await harness.advanceTime(4_000, () => {
    for (let index = 0; index < 8; index++) harness.submit({ class: 'urgent', bytes: 0 })
    harness.submit({ class: 'normal', bytes: 0 })
    harness.submit({ class: 'background', bytes: 0 })
  })
  const total = harness.served.length
  assert.ok(harness.count('normal') / total >= 0.25 * 0.95, `normal ${harness.count('normal')} of ${total}`)
  assert.ok(harness.count('background') / total >= 0.25 * 0.95, `background ${harness.count('background')} of ${total}`)
})

test('overload of a background class does not affect other classes', async () => {
  const harness = new QueueHarness(4)
  let offered = 0
  await harness.advanceTime(4_000, () => {
    for (let index = 0; index < 20; index++) harness.submit({ class: 'background', bytes: 0 })
    harness.submit({ class: 'urgent', bytes: 0 })
    harness.submit({ class: 'normal', bytes: 0 })
    offered += 1
  })
  assert.ok(harness.count('urgent') >= offered * 0.95)
  assert.ok(harness.count('normal') >= offered * 0.95)
})

test('overload by one client account does not delay the others', async () => {
  const harness = new QueueHarness(4)
  let offered = 0
  await harness.advanceTime(4_000, () => {
    for (let index = 0; index < 20; index++) harness.submit({ tenant: 'flooder', bytes: 0 })
    harness.submit({ tenant: 'quiet', bytes: 0 })
    offered += 1
  })
  assert.ok(harness.count('normal', 'quiet') >= offered * 0.95)
})

test('quotas divide the slots of a class between client accounts', async () => {
  const harness = new QueueHarness(4, tenant => tenant === 'large' ? 3 : 1)
  await harness.advanceTime(4_000, () => {
    for (let index = 0; index < 8; index++) {
      harness.submit({ tenant: 'large', bytes: 0 })
      harness.submit({ tenant: 'small', bytes: 0 })
    }
  })
  const ratio = harness.count('normal', 'large') / harness.count('normal', 'small')
  assert.ok(ratio > 2.7 && ratio < 3.3, String(ratio))
})

test('client accounts are charged for the time that their requests hold a slot', async () => {
  const harness = new QueueHarness(4)
  let slow = 0
  await harness.advanceTime(8_000, () => {
    harness.submit({ tenant: 'slow', bytes: 0 }, 200)
    harness.submit({ tenant: 'quick', bytes: 0 }, 10)
    harness.submit({ tenant: 'quick', bytes: 0 }, 10)
    slow += 1
  })
  const slowTime = harness.count('normal', 'slow') * 200
  const quickTime = harness.count('normal', 'quick') * 10
  assert.ok(slow > 0 && quickTime >= Math.min(2 * slow * 10, slowTime) * 0.9, `${quickTime} of ${slowTime}`)
})

test('a request is refused on arrival if its expected wait exceeds its deadline', async () => {
  const harness = new QueueHarness(1)
  for (let index = 0; index < 20; index++) harness.submit({})
  harness.submit({ deadlineAt: harness.clock.now() + 30 })
  await harness.advanceTime(10)
  assert.deepEqual(harness.refused, ['WAIT_TOO_LONG'])
})

test('a request is refused when its deadline passes while it waits', async () => {
  const harness = new QueueHarness(1)
  harness.submit({}, 10_000)
  harness.submit({ deadlineAt: harness.clock.now() + 100 })
  await harness.advanceTime(300)
  assert.deepEqual(harness.refused, ['DEADLINE_PASSED'])
})

test('the queue is limited by the size of the waiting requests', async () => {
  const harness = new QueueHarness(1)
  harness.submit({}, 10_000)
  harness.submit({ bytes: 900 })
  harness.submit({ bytes: 200 })
  await harness.advanceTime(10)
  assert.deepEqual(harness.refused, ['QUEUE_FULL'])
})

test('a request is removed from the queue when its caller disconnects', async () => {
  const harness = new QueueHarness(1)
  const gone = new AbortController()
  harness.submit({}, 50)
  harness.submit({ signal: gone.signal })
  await harness.advanceTime(10)
  gone.abort()
  await harness.advanceTime(100)
  assert.deepEqual(harness.refused, ['CALLER_GONE'])
  assert.equal(harness.served.length, 1)
  assert.equal(harness.queue.waiting(), 0)
})
