import assert from 'node:assert/strict'
import { test } from 'node:test'
import { allowedLedMs, drawJoiningDay, drawLostJoinersDay, playDay, playScenarios, type Day, type DayEvent, type DayResult } from '@wisteriaslip/testing.simulation'
import { jobId } from '../src/site-jobs.ts'

const LOST_AT_MS = 6_000
const TERM_MS = 5_000

/** A worker is lost, and in each of some terms another one is replaced by a worker that does not answer. */
function joiningDay (terms: number): Day {
  const inTerm = (number: number): DayEvent[] => {
    const endsAt = LOST_AT_MS + 500 + number * TERM_MS
    const vms = [1 + number]
    return [
      { kind: 'kill', atMs: endsAt, forMs: 300, who: { leaderOf: 'service/alpha' } },
      { kind: 'crash', atMs: endsAt + 100, forMs: 500, vms, sameId: false },
      { kind: 'mute', atMs: endsAt + 600, forMs: 40_000, vms }
    ]
  }
  const faults = Array.from({ length: terms }, (_, number) => inTerm(number)).flat()
  const jobs = [jobId({ service: 'alpha', tasks: 7, cpu: 1_000, runMs: Infinity }, 1), jobId({ service: 'beta', tasks: 1, cpu: 1_000, runMs: Infinity }, 2)]
  const lost: DayEvent = { kind: 'lose', atMs: LOST_AT_MS, vms: [0], listedAs: 'absent' }
  return {
    seed: 1,
    entries: 5,
    pools: [{ name: 'alpha', vms: 7 }, { name: 'beta', vms: 1 }, { name: 'spare', vms: 0, standby: true }],
    events: [{ kind: 'submit', atMs: 1_500, jobs }, lost, ...faults],
    endMs: LOST_AT_MS + terms * TERM_MS + 20_000
  }
}

function longestLedMs ({ gaps }: DayResult): { ledMs: number, allowedMs: number } {
  const [longest] = gaps.toSorted((a, b) => b.ledMs - a.ledMs)
  return longest === undefined ? { ledMs: 0, allowedMs: 0 } : { ledMs: Math.round(longest.ledMs), allowedMs: allowedLedMs(longest) }
}

// Played before the first test begins, as promises cost three times as much inside of a test.
const played = [await playDay(joiningDay(1)), await playDay(joiningDay(2)), await playDay(joiningDay(3))]
const broken = await playScenarios({
  kinds: { joining: drawJoiningDay, lost: drawLostJoinersDay },
  seed: Number(process.env.WISTERIASLIP_SEED ?? 20_261_208),
  runs: Number(process.env.WISTERIASLIP_RUNS ?? 8),
  only: process.env.WISTERIASLIP_SCENARIO
})

// Each leader waited for workers that joined in its term, which no earlier one can have used.
test('waits for workers that join in each of several terms do not add up', () => {
  const longest = played.map(longestLedMs)
  assert.deepEqual(longest.filter(({ ledMs, allowedMs }) => ledMs > allowedMs), [], JSON.stringify(longest))
})

// The same, with workers that join and leaders that end at random.
test('leaders at work need no more than one whole wait together while workers join', () => {
  assert.deepEqual(broken.led, [])
})

// A leader took over while workers joined, and started what still ran elsewhere, or did not start what had room.
test('no task is lost or runs twice while workers join in each term', () => {
  assert.deepEqual([...broken.lost, ...broken.violations], [])
})
