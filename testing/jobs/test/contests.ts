import fc from 'fast-check'
import { ContestedService, ENTRIES, type Contest, type Trouble } from './contested-service.ts'
import type { LinkCut } from '@wisteriaslip/testing.simulation'
import { throwingCalls } from './throwing-ports.ts'

const NUM_RUNS = Number(process.env.WISTERIASLIP_RUNS ?? 30)
const SEED = Number(process.env.WISTERIASLIP_SEED ?? 20_261_205)
/** Plays only the scenarios of this number. */
const ONLY = process.env.WISTERIASLIP_SCENARIO
/** A task for which there is room must run within this time of the last trouble: the users' rule, not a measured bound. */
const MAX_WAIT_MS = 7_000
/** When troubles begin, and until when those that last do so. */
const TROUBLES_MS = { from: 1_000, until: 12_000 }
const MAX_MACHINES = 3
/** One cause breaks the rule for many tasks. */
const MAX_SHOWN = 2

const atMs = fc.integer({ min: TROUBLES_MS.from, max: TROUBLES_MS.until })
const forMs = fc.integer({ min: 100, max: 9_000 })
const vm = fc.nat(MAX_MACHINES - 1)
const entry = fc.nat(ENTRIES - 1)
const how = fc.constantFrom<LinkCut>('silent', 'reset', 'one-way')

const isolated = fc.record({ kind: fc.constant('isolated' as const), atMs, forMs, entry })
const cut = fc.record({ kind: fc.constant('cut' as const), atMs, forMs, entry, vm, how })
const revoked = fc.record({ kind: fc.constant('revoked' as const), atMs })
const storeDown = fc.record({ kind: fc.constant('store-down' as const), atMs, forMs })
const crash = fc.record({ kind: fc.constant('crash' as const), atMs, forMs: fc.integer({ min: 20, max: 1_500 }), vm, sameId: fc.boolean() })
const dark = fc.record({ kind: fc.constant('dark' as const), atMs, forMs, vm })
const jobs = fc.record({ kind: fc.constant('jobs' as const), atMs })
const slow = fc.record({ kind: fc.constant('slow' as const), atMs, forMs, byMs: fc.integer({ min: 50, max: 2_500 }) })
const throws = fc.record({ kind: fc.constant('throws' as const), atMs, call: fc.constantFrom(...throwingCalls) })
const some: fc.Arbitrary<Trouble> = fc.oneof(jobs, jobs, crash, dark, cut, isolated, revoked, storeDown)

/** The first leader is isolated, and each of the first two entries may be cut from any machine meanwhile. */
export const twoLeaders: fc.Arbitrary<Contest> = fc.record({ seed: fc.nat(), machines: fc.integer({ min: 2, max: MAX_MACHINES }), atMs: fc.integer({ min: 1_000, max: 4_000 }), forMs: fc.integer({ min: 3_000, max: 9_000 }), cuts: fc.array(fc.record({ reach: fc.constantFrom('both', 'first', 'second'), how }), { minLength: MAX_MACHINES, maxLength: MAX_MACHINES }), more: fc.array(some, { maxLength: 4 }) })
  .map(({ seed, machines, atMs, forMs, cuts, more }) => {
    const cutOff = cuts.flatMap(({ reach, how }, vm): Trouble[] => reach === 'both' ? [] : [{ kind: 'cut', atMs, forMs, entry: reach === 'first' ? 1 : 0, vm, how }])
    return inTime({ seed, machines, troubles: [{ kind: 'isolated', atMs, forMs, entry: 0 }, ...cutOff, ...more] })
  })

/** Calls throw, once each, while workers crash and jobs come. */
export const thrownErrors: fc.Arbitrary<Contest> = fc.record({ seed: fc.nat(), machines: fc.integer({ min: 2, max: MAX_MACHINES }), errors: fc.array(throws, { minLength: 1, maxLength: 3 }), crashes: fc.array(crash, { minLength: 1, maxLength: 3 }), more: fc.array(some, { maxLength: 4 }) })
  .map(({ seed, machines, errors, crashes, more }) => inTime({ seed, machines, troubles: [...errors, ...crashes, ...more] }))

/** Messages to and from workers are late and overtake each other while tasks start, and replies come after their sender gave up. */
export const lateReplies: fc.Arbitrary<Contest> = fc.record({ seed: fc.nat(), machines: fc.integer({ min: 2, max: MAX_MACHINES }), slows: fc.array(slow, { minLength: 1, maxLength: 2 }), afterMs: fc.array(fc.integer({ min: 0, max: 2_000 }), { minLength: 2, maxLength: 4 }), more: fc.array(some, { maxLength: 3 }) })
  .map(({ seed, machines, slows, afterMs, more }) => inTime({ seed, machines, troubles: [...slows, ...afterMs.map((each): Trouble => ({ kind: 'jobs', atMs: (slows[0]?.atMs ?? 0) + each })), ...more] }))

/** An entry ends its term and begins another under the same token, while starts of the first are late. */
export const sameToken: fc.Arbitrary<Contest> = fc.record({ seed: fc.nat(), machines: fc.integer({ min: 2, max: MAX_MACHINES }), atMs, afterMs: fc.integer({ min: 5, max: 500 }), forMs: fc.integer({ min: 50, max: 1_000 }), byMs: fc.integer({ min: 500, max: 3_500 }), more: fc.array(some, { maxLength: 3 }) })
  .map(({ seed, machines, atMs, afterMs, forMs, byMs, more }) => inTime({ seed, machines, troubles: [{ kind: 'slow', atMs: atMs - 100, forMs: 1_000, byMs }, { kind: 'jobs', atMs }, { kind: 'flap', atMs: atMs + afterMs, forMs, entry: 0 }, ...more] }))

/** One or two leaders lose their leadership while their successors, and others, are held up again and again, and workers are lost or cut off around that. */
export const heldUpLeaders: fc.Arbitrary<Contest> = fc.record({ seed: fc.nat(), machines: fc.integer({ min: 2, max: MAX_MACHINES }), atMs: fc.integer({ min: 3_000, max: 6_000 }), again: fc.option(fc.integer({ min: 500, max: 4_000 })), isCutOff: fc.boolean(), held: fc.array(fc.record({ beforeMs: fc.integer({ min: -1_000, max: 2_000 }), forMs: fc.integer({ min: 1_000, max: 7_000 }), byMs: fc.oneof(fc.integer({ min: 50, max: 500 }), fc.constant(500)) }), { minLength: 1, maxLength: ENTRIES }), lost: fc.array(fc.record({ trouble: fc.oneof(crash, crash, dark, cut), beforeMs: fc.integer({ min: -2_000, max: 2_000 }) }), { minLength: 1, maxLength: 3 }), more: fc.array(some, { maxLength: 2 }) })
  .map(({ seed, machines, atMs, again, isCutOff, held, lost, more }) => {
    const first: Trouble = isCutOff ? { kind: 'isolated', atMs, forMs: 3_000, entry: 0 } : { kind: 'revoked', atMs }
    const second: Trouble[] = again === null ? [] : [{ kind: 'revoked', atMs: atMs + again }]
    const heldUp = held.map(({ beforeMs, ...each }, number): Trouble => ({ kind: 'held-up', atMs: atMs - beforeMs, entry: (number + 1) % ENTRIES, ...each }))
    const losses = lost.map(({ trouble, beforeMs }): Trouble => ({ ...trouble, atMs: atMs - beforeMs }))
    return inTime({ seed, machines, troubles: [first, ...second, ...heldUp, ...losses, ...more] })
  })

/** Leaves out what concerns machines that there are not, and ends in time what lasts. */
function inTime ({ seed, machines, troubles }: Contest): Contest {
  const present = troubles.filter(trouble => !('vm' in trouble) || trouble.vm < machines)
  return { seed, machines, troubles: present.map(trouble => 'forMs' in trouble ? { ...trouble, forMs: Math.max(100, Math.min(trouble.forMs, TROUBLES_MS.until - trouble.atMs)) } : trouble) }
}

/** What a scenario broke. */
export interface Broken {
  /** Starts of a task that was running elsewhere, or done. */
  readonly twice: string[]
  /** Long-running tasks that run nowhere although there is room. */
  readonly waiting: string[]
  /** Jobs that were given up. */
  readonly failed: string[]
}

/**
 * @param arbitrary - draws scenarios
 * @returns what the scenarios of this run broke, each with its number
 */
export async function playSome (arbitrary: fc.Arbitrary<Contest>): Promise<Broken> {
  const broken: Broken = { twice: [], waiting: [], failed: [] }
  for (const [number, contest] of fc.sample(arbitrary, { numRuns: NUM_RUNS, seed: SEED }).entries()) {
    if (ONLY !== undefined && ONLY !== `${number}`) continue
    const { twice, waiting, failed } = await playContest(contest)
    if (twice[0] !== undefined) broken.twice.push(`${number}: ${twice[0]}`)
    if (waiting.length > 0) broken.waiting.push(`${number}: ${waiting.join(' ')}`)
    if (failed.length > 0) broken.failed.push(`${number}: ${failed.join(' ')}`)
  }
  return broken
}

/**
 * @param contest - scenario to play
 * @returns what it broke
 */
export async function playContest (contest: Contest): Promise<Broken> {
  const service = new ContestedService(contest)
  try {
    await service.play(contest, MAX_WAIT_MS)
    const failed = service.failedJobs()
    const waiting = service.waitingTasks().filter(task => !failed.some(id => task.startsWith(`${id}.`)))
    return { twice: service.workers.history.violations().slice(0, MAX_SHOWN), waiting, failed }
  } finally {
    service.close()
  }
}
