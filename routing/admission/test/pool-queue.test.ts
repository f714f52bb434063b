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

/** A queue over a few slots whose work takes a fixed time. */
class Bench {
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

  offer (request: Partial<QueueRequest>, runMs = 10): void {
    const full = { class: 'normal', tenant: 't', deadlineAt: this.clock.now() + 100_000, bytes: 1, signal: new AbortController().signal, ...request }
    this.queue.admit(full).then(admission => this.take(admission, full, runMs)).catch(assert.ifError)
  }

  async pass (ms: number, each: () => void = () => {}): Promise<void> {
    for (let step = 0; step < ms; step += 10) {
      each()
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

  private take (admission: Admission<Slot>, request: QueueRequest, runMs: number): void {
    if (!admission.ok) {
      this.refused.push(admission.refusal.code)
      return
    }
    this.served.push({ class: request.class, tenant: request.tenant })
    this.running.push({ endsAt: this.clock.now() + runMs, done: () => admission.done() })
  }
}

test('urgent goes first', async () => {
  const bench = new Bench(1)
  bench.offer({ class: 'background' })
  for (let index = 0; index < 5; index++) bench.offer({ class: 'background' })
  bench.offer({ class: 'urgent' })
  await bench.pass(20)
  assert.deepEqual(bench.served.slice(0, 2).map(each => each.class), ['background', 'urgent'])
})

test('a flood of urgent work leaves the others their floors', async () => {
  const bench = new Bench(4)
  await bench.pass(4_000, () => {
    for (let index = 0; index < 8; index++) bench.offer({ class: 'urgent', bytes: 0 })
    bench.offer({ class: 'normal', bytes: 0 })
    bench.offer({ class: 'background', bytes: 0 })
  })
  const total = bench.served.length
  assert.ok(bench.count('normal') / total >= 0.25 * 0.95, `normal ${bench.count('normal')} of ${total}`)
  assert.ok(bench.count('background') / total >= 0.25 * 0.95, `background ${bench.count('background')} of ${total}`)
})

test('a flood of background work takes nothing from the others', async () => {
  const bench = new Bench(4)
  let offered = 0
  await bench.pass(4_000, () => {
    for (let index = 0; index < 20; index++) bench.offer({ class: 'background', bytes: 0 })
    bench.offer({ class: 'urgent', bytes: 0 })
    bench.offer({ class: 'normal', bytes: 0 })
    offered += 1
  })
  assert.ok(bench.count('urgent') >= offered * 0.95)
  assert.ok(bench.count('normal') >= offered * 0.95)
})

test('a tenant that floods does not slow the others', async () => {
  const bench = new Bench(4)
  let offered = 0
  await bench.pass(4_000, () => {
    for (let index = 0; index < 20; index++) bench.offer({ tenant: 'flooder', bytes: 0 })
    bench.offer({ tenant: 'quiet', bytes: 0 })
    offered += 1
  })
  assert.ok(bench.count('normal', 'quiet') >= offered * 0.95)
})

test('quotas divide a class between tenants', async () => {
  const bench = new Bench(4, tenant => tenant === 'large' ? 3 : 1)
  await bench.pass(4_000, () => {
    for (let index = 0; index < 8; index++) {
      bench.offer({ tenant: 'large', bytes: 0 })
      bench.offer({ tenant: 'small', bytes: 0 })
    }
  })
  const ratio = bench.count('normal', 'large') / bench.count('normal', 'small')
  assert.ok(ratio > 2.7 && ratio < 3.3, String(ratio))
})

test('long runs are charged by their time', async () => {
  const bench = new Bench(4)
  let slow = 0
  await bench.pass(8_000, () => {
    bench.offer({ tenant: 'slow', bytes: 0 }, 200)
    bench.offer({ tenant: 'quick', bytes: 0 }, 10)
    bench.offer({ tenant: 'quick', bytes: 0 }, 10)
    slow += 1
  })
  const slowTime = bench.count('normal', 'slow') * 200
  const quickTime = bench.count('normal', 'quick') * 10
  assert.ok(slow > 0 && quickTime >= Math.min(2 * slow * 10, slowTime) * 0.9, `${quickTime} of ${slowTime}`)
})

test('a request whose wait is beyond its deadline is refused at once', async () => {
  const bench = new Bench(1)
  for (let index = 0; index < 20; index++) bench.offer({})
  bench.offer({ deadlineAt: bench.clock.now() + 30 })
  await bench.pass(10)
  assert.deepEqual(bench.refused, ['WAIT_TOO_LONG'])
})

test('a request is refused when its deadline passes in the queue', async () => {
  const bench = new Bench(1)
  bench.offer({}, 10_000)
  bench.offer({ deadlineAt: bench.clock.now() + 100 })
  await bench.pass(300)
  assert.deepEqual(bench.refused, ['DEADLINE_PASSED'])
})

test('a queue is bounded by bytes', async () => {
  const bench = new Bench(1)
  bench.offer({}, 10_000)
  bench.offer({ bytes: 900 })
  bench.offer({ bytes: 200 })
  await bench.pass(10)
  assert.deepEqual(bench.refused, ['QUEUE_FULL'])
})

test('a caller that leaves gives up its place', async () => {
  const bench = new Bench(1)
  const gone = new AbortController()
  bench.offer({}, 50)
  bench.offer({ signal: gone.signal })
  await bench.pass(10)
  gone.abort()
  await bench.pass(100)
  assert.deepEqual(bench.refused, ['CALLER_GONE'])
  assert.equal(bench.served.length, 1)
  assert.equal(bench.queue.waiting(), 0)
})
