import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { nothing, plus } from '../src/resources.ts'
import { Site } from './quotas-model.ts'

const NUM_RUNS = Number(process.env.WISTERIASLIP_RUNS ?? 300)
/** Injected bugs are looked for in few scenarios, which are always these. */
const DETECTION_SEED = 20_261_207
const SEED = Number(process.env.WISTERIASLIP_SEED ?? DETECTION_SEED)
/** Work goes on between the other actions. */
const WORK = 13

type Leader = Parameters<NonNullable<ConstructorParameters<typeof Site>[0]>>[0]

const actions = fc.array(fc.tuple(fc.oneof({ weight: 3, arbitrary: fc.constant(WORK) }, { weight: 2, arbitrary: fc.constant(0) }, { weight: 8, arbitrary: fc.integer({ min: 0, max: 12 }) }), fc.nat(60), fc.nat(3)), { minLength: 5, maxLength: 50 })

type Action = [number, number, number]
const work: Action = [WORK, 0, 0]
/** More than the time after which an unused part goes back. */
const longTime: Action[] = Array.from({ length: 8 }, () => [4, 2, 0])

/** Courses that random ones seldom take. */
const courses: ReadonlyArray<[Action[]]> = [
  // The runs of an earlier leader are on a silent worker when its successor gets new work.
  [[[0, 33, 0], work, work, [8, 0, 0], [6, 0, 0], [0, 33, 0], work, work]],
  // Two leaders raise their parts at the same moment.
  [[[0, 33, 0], [0, 25, 0], [12, 0, 0], [1, 0, 0], [3, 0, 0], [2, 0, 0], [1, 0, 0]]],
  // A leader gives back what is long unused, gets no response, needs it again, and the write takes effect after all while it is cut off.
  [[[0, 33, 0], work, work, [5, 3, 1], [2, 0, 0], ...longTime, [2, 0, 0], [2, 0, 0], [3, 0, 2], [0, 33, 0], [12, 0, 3], [3, 0, 2], [1, 0, 0], [7, 0, 0], [11, 0, 0], [0, 25, 0], [12, 1, 2], [1, 0, 0], [3, 0, 0], [2, 0, 0], [1, 0, 0]]],
  // A version lowers the quota below what runs, and one run ends.
  [[[0, 24, 0], [0, 16, 0], work, work, [0, 24, 0], work, [9, 1, 0], [10, 0, 0], [5, 3, 0], [2, 0, 0], [1, 0, 0]]]
]

async function play (steps: readonly Action[], mutate?: (leader: Leader) => void, opts = { lasting: true }): Promise<Site> {
  const site = new Site(mutate, opts)
  for (const [action, detail, fault] of steps) {
    if (action === WORK) await site.work()
    else await site.perform(action, detail, fault)
  }
  return site
}

test('no interleaving of starts, ends, takeovers, late writes and changes brings an account over its quota', async () => {
  await fc.assert(fc.asyncProperty(actions, async steps => { assert.deepEqual((await play(steps)).violations, []) }), { numRuns: NUM_RUNS, seed: SEED, examples: [...courses] })
})

test('all work of an account ends once all faults are over', async () => {
  await fc.assert(fc.asyncProperty(actions, async steps => {
    const site = await play(steps, undefined, { lasting: false })
    for (const leader of site.leaders) leader.cut = false
    for (const worker of site.allWorkers()) worker.silent = false
    site.quota = 9_000
    for (let round = 0; round < 60; round++) {
      await site.perform(10, 0, 0)
      await site.work()
      site.advance(400)
      site.endAll()
    }
    assert.deepEqual(site.violations, [])
    assert.deepEqual(site.unfinished(), [])
  }), { numRuns: Math.ceil(NUM_RUNS / 3), seed: SEED, examples: [...courses] })
})

const injectedBugs: Readonly<Record<string, (leader: Leader) => void>> = {
  'parts are raised without the condition on the revision' (leader) {
    leader.site.store.matches = () => true
  },
  'runs without a response are not counted' (leader) {
    const { scheduler, holder } = leader
    const respond = scheduler.handleStartResponse.bind(scheduler)
    scheduler.handleStartResponse = (run, error, reading) => {
      respond(run, error, reading)
      if (error?.kind === 'unknown') holder.limiter.forgetRun(run)
    }
  },
  'a successor ignores what it does not know' ({ holder: { limiter } }) {
    const beginPass = limiter.beginPass.bind(limiter)
    limiter.beginPass = () => beginPass(() => nothing)
  },
  'parts are given back before runs have ended' ({ holder }) {
    const limiter = holder.limiter as unknown as { use: (name: string) => unknown }
    limiter.use = () => ({ tracked: nothing, most: nothing })
  },
  'a lowered part is used until the write is confirmed' ({ holder }) {
    holder.book.lower = () => {}
  },
  'a part is raised before the write is confirmed' ({ holder: { book } }) {
    const confirmed = book.confirmed.bind(book)
    book.confirmed = (account, limits) => plus(confirmed(account, limits), { cpu: 1_000, memMb: 0, accelerators: 0 })
  },
  'parts above a lowered quota are used as before' ({ holder: { book } }) {
    book.confirmed = account => book.given(account)
  }
}

for (const [bug, inject] of Object.entries(injectedBugs)) {
  test(`an injected bug is detected: ${bug}`, async () => {
    const found = await fc.check(fc.asyncProperty(actions, async steps => (await play(steps, inject)).violations.length === 0), { numRuns: 1_000, seed: DETECTION_SEED, endOnFailure: true, examples: [...courses] })
    assert.ok(found.failed)
  })
}
