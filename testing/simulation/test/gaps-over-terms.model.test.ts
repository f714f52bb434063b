import assert from 'node:assert/strict'
import { test } from 'node:test'
import { allowedLedMs, allowedRoomMs, drawHandoverDay, drawOutageDay, drawPowerLossDay, playDay, shorten, type Day, type DayResult, type RunGap } from '@wisteriaslip/testing.simulation'

/** Number of scenarios of each kind. */
const NUM_RUNS = Number(process.env.WISTERIASLIP_RUNS ?? 8)
const SEED = Number(process.env.WISTERIASLIP_SEED ?? 20_261_208)
/** Plays only the scenario of this name, as a failed test prints it, and prints the shortest one that fails as it does. */
const ONLY = process.env.WISTERIASLIP_SCENARIO

type Draw = (seed: number) => Day

/** Scenarios by the first part of their names; the second one is their seed. */
const kinds: Readonly<Record<string, Draw>> = { power: drawPowerLossDay, handover: drawHandoverDay, outage: drawOutageDay }

// The users' rule excuses changes of leader. These bounds do not: one whole wait for a silent worker, and for each change an election
// (lease, start, rank) and a proof by lists; a leader at work needs the same without the elections. All are constants of the code.
const checks: Readonly<Record<'lost' | 'violations' | 'room' | 'led', (result: DayResult) => readonly unknown[]>> = {
  lost: ({ lost }) => lost,
  violations: ({ violations }) => violations,
  room: ({ gaps }) => longestFirst(gaps.filter(gap => gap.roomMs > allowedRoomMs(gap)), 'roomMs'),
  led: ({ gaps }) => longestFirst(gaps.filter(gap => gap.ledMs > allowedLedMs(gap)), 'ledMs')
}
const broken: Record<keyof typeof checks, string[]> = { lost: [], violations: [], room: [], led: [] }

function longestFirst (gaps: readonly RunGap[], by: 'roomMs' | 'ledMs'): RunGap[] {
  return gaps.toSorted((a, b) => b[by] - a[by])
}

async function play (name: string, day: Day): Promise<void> {
  const result = await playDay(day)
  for (const [rule, check] of Object.entries(checks)) {
    const found = check(result)
    if (found.length === 0) continue
    broken[rule as keyof typeof checks].push(`WISTERIASLIP_SCENARIO=${name}: ${JSON.stringify(found[0])}`)
    if (ONLY !== undefined) console.log(JSON.stringify(await shorten(day, async shorter => check(await playDay(shorter)).length > 0)))
  }
}

// Played before the first test begins, as promises cost three times as much inside of a test.
const named = ONLY === undefined ? Object.keys(kinds).flatMap(kind => Array.from({ length: NUM_RUNS }, (_, number) => `${kind}-${SEED + number}`)) : [ONLY]
for (const name of named) {
  const [kind, seed] = name.split('-')
  const draw = kinds[kind ?? '']
  if (draw === undefined) throw new Error(`no scenarios of the kind ${kind}`)
  await play(name, draw(Number(seed)))
}

// A long-running task had no run for 20 s, over two changes of leader.
test('a long-running task with room for it is not lost, however many leaders end in sequence', () => {
  assert.deepEqual(broken.lost, [])
})

// A leader took over from one that had ended, and started what still ran elsewhere.
test('no task runs twice while leaders end in sequence', () => {
  assert.deepEqual(broken.violations, [])
})

// A wait for a silent worker began anew with each leader.
test('the time without a run does not grow by more than elections and proofs with each change of leader', () => {
  assert.deepEqual(broken.room, [])
})

// Leaders that followed each other each waited for what the one before had found out.
test('leaders at work need no more than one whole wait together, and a proof for each change', () => {
  assert.deepEqual(broken.led, [])
})
