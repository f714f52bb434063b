import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Contest, Trouble } from './contested-service.ts'
import { lateReplies, playContest, playSome, sameToken, thrownErrors, twoLeaders, type Broken } from './contests.ts'

/** Scenarios that were found to break a rule, as small as they could be made. */
const found = {
  cutOffLeader: { seed: 1, machines: 2, troubles: [isolated(1_000, 4_000), cut(1_000, 4_000, 0, 0), cut(1_000, 4_000, 1, 1)] },
  outOfReach: { seed: 1, machines: 2, troubles: [isolated(5_000, 12_000), cut(5_000, 12_000, 0, 1), cut(5_000, 12_000, 1, 0)] },
  notedEnd: { seed: 15, machines: 3, troubles: [cut(3_000, 7_000, 1, 1), cut(3_000, 7_000, 0, 2), isolated(5_000, 3_000), { kind: 'jobs', atMs: 1_000 }] },
  revokedLease: { seed: 1, machines: 2, troubles: [cut(1_000, 6_000, 0, 0), cut(1_000, 6_000, 1, 1), { kind: 'revoked', atMs: 3_600 }, isolated(3_600, 3_000)] },
  revokedInTouch: { seed: 5, machines: 2, troubles: [cut(1_000, 6_000, 0, 0), cut(1_000, 6_000, 1, 1), { kind: 'revoked', atMs: 3_800 }] },
  vmListThrows: { seed: 1, machines: 2, troubles: [{ kind: 'throws', atMs: 7_000, call: 'vms' }, { kind: 'crash', atMs: 7_000, forMs: 1_100, vm: 1, sameId: true }, { kind: 'jobs', atMs: 4_900 }] },
  progressThrows: { seed: 1, machines: 2, troubles: [{ kind: 'throws', atMs: 11_000, call: 'store.update' }, { kind: 'jobs', atMs: 8_000 }, { kind: 'jobs', atMs: 6_000 }] },
  permitsThrow: { seed: 1, machines: 2, troubles: [{ kind: 'throws', atMs: 7_000, call: 'permits.requestPermits' }, { kind: 'crash', atMs: 7_000, forMs: 100, vm: 1, sameId: false }] },
  crashAfterTakeover: { seed: 1, machines: 2, troubles: [{ kind: 'store-down', atMs: 1_000, forMs: 3_400 }, { kind: 'crash', atMs: 4_800, forMs: 100, vm: 0, sameId: false }, { kind: 'crash', atMs: 5_400, forMs: 100, vm: 0, sameId: true }] },
  lateStart: { seed: 14, machines: 2, troubles: [{ kind: 'slow', atMs: 1_900, forMs: 1_000, byMs: 2_500 }, { kind: 'jobs', atMs: 2_000 }, { kind: 'flap', atMs: 2_100, forMs: 100, entry: 0 }] }
} as const satisfies Record<string, Contest>

function isolated (atMs: number, forMs: number): Trouble {
  return { kind: 'isolated', atMs, forMs, entry: 0 }
}

function cut (atMs: number, forMs: number, entry: number, vm: number): Trouble {
  return { kind: 'cut', atMs, forMs, entry, vm, how: 'silent' }
}

// Played before the first test begins, as promises cost three times as much inside of a test.
const broken = new Map<string, Broken>()
for (const [name, contest] of Object.entries(found)) broken.set(name, await playContest(contest))
const random = { twoLeaders: await playSome(twoLeaders), thrownErrors: await playSome(thrownErrors), lateReplies: await playSome(lateReplies), sameToken: await playSome(sameToken) }
const nothing: Broken = { twice: [], waiting: [], failed: [] }

// A leader that had lost the store and a worker took the worker's lease for expired, which its successor had extended.
test('a leader that is cut off does not start the tasks of a worker again whose lease its successor extends', () => {
  assert.deepEqual(broken.get('cutOffLeader'), nothing)
})

// A leader that had lost the store kept runs alive on a worker that its successor could not reach.
test('a leader does not start tasks again that an earlier one keeps alive on a worker out of its reach', () => {
  assert.deepEqual(broken.get('outOfReach'), nothing)
})

// A run ended done to the knowledge of the new leader, and the earlier one had started it again before.
test('a leader that is cut off does not start a task again whose end its successor takes note of', () => {
  assert.deepEqual(broken.get('notedEnd'), nothing)
})

// The store ended the lease of a leader early: its successor extended the lease of a worker that the leader held for lost.
test('a leader whose lease the store has revoked does not start tasks again beside its successor', () => {
  assert.deepEqual(broken.get('revokedLease'), nothing)
})

// A leader learned some tenths of a second after its successor had begun that the store had revoked its lease.
test('a leader that learns late of a revoked lease does not start tasks again beside its successor', () => {
  assert.deepEqual(broken.get('revokedInTouch'), nothing)
})

// The list of VMs threw: the failed term went on beside the next one under the same token.
test('a term whose list of VMs throws does not start tasks beside the next one', () => {
  assert.deepEqual(broken.get('vmListThrows'), nothing)
})

// A write of progress threw: the failed term went on beside the next one under the same token.
test('a term whose progress writer throws does not start tasks beside the next one', () => {
  assert.deepEqual(broken.get('progressThrows'), nothing)
})

// A request for permits threw: the step never asked again.
test('tasks that need permits run after a request for permits has thrown', () => {
  assert.deepEqual(broken.get('permitsThrow'), nothing)
})

// A new leader took a crash soon after its first report for one at the start of tasks that had run under an earlier leader.
test('no job is given up for a crash soon after a takeover and another one', () => {
  assert.deepEqual(broken.get('crashAfterTakeover'), nothing)
})

// A start of a term that had ended arrived after the next term under the same token had seen the worker without it.
test('a late start of a term that has ended does not run beside the next one under its token', () => {
  assert.deepEqual(broken.get('lateStart'), nothing)
})

// Two leaders at once started tasks that the other one's workers ran.
test('no task is started twice while two entries lead', () => {
  assert.deepEqual(random.twoLeaders.twice, [])
})

// A leader that was cut off left tasks waiting.
test('after two entries have led at once, each long-running task for which there is room runs within 7 s', () => {
  assert.deepEqual(random.twoLeaders.waiting, [])
})

// Errors thrown in one loop of a term left its other loops running.
test('no task is started twice after a call of a term has thrown', () => {
  assert.deepEqual(random.thrownErrors.twice, [])
})

// An error thrown in one loop of a term ended that loop alone.
test('after a call of a term has thrown, each long-running task for which there is room runs within 7 s', () => {
  assert.deepEqual(random.thrownErrors.waiting, [])
})

// Guards against replies that are taken for those of a later call.
test('late and overtaking messages start no task twice and keep none waiting', () => {
  assert.deepEqual(random.lateReplies, nothing)
})

// Starts of a term that had ended ran beside those of the next one under the same token.
test('no task is started twice when a term follows another one under the same token', () => {
  assert.deepEqual(random.sameToken, nothing)
})

// Jobs were given up because their workers had crashed for reasons of their own.
test('no job is given up when several entries lead and workers crash that none of its tasks has crashed', () => {
  assert.deepEqual(Object.values(random).flatMap(({ failed }) => failed), [])
})
