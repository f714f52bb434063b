import type { Day } from './day-events.ts'
import { allowedLedMs, allowedRoomMs } from './gap-bounds.ts'
import { playDay, type DayResult } from './play-day.ts'
import type { RunGap } from './run-gaps.ts'
import { shorten } from './shorten.ts'

/** What a scenario may break: `room` and `led` are the bounds of a time without a run. */
export type GapRule = 'lost' | 'violations' | 'room' | 'led'

/** Options of {@link playScenarios}. */
export interface ScenarioOpts {
  /** Draws scenarios, by the first part of their names; the second one is their seed. */
  readonly kinds: Readonly<Record<string, (seed: number) => Day>>
  readonly seed: number
  /** Number of scenarios of each kind. */
  readonly runs: number
  /** Plays only the scenario of this name, and prints the shortest one that breaks the same. */
  readonly only?: string | undefined
}

/** @returns what a scenario has broken, the worst first */
export const gapChecks: Readonly<Record<GapRule, (result: DayResult) => readonly unknown[]>> = {
  lost: ({ lost }) => lost,
  violations: ({ violations }) => violations,
  room: ({ gaps }) => longestFirst(gaps.filter(gap => gap.roomMs > allowedRoomMs(gap)), 'roomMs'),
  led: ({ gaps }) => longestFirst(gaps.filter(gap => gap.ledMs > allowedLedMs(gap)), 'ledMs')
}

/**
 * Plays scenarios, each before the next one.
 * @param opts - which ones
 * @returns those that have broken something, with the worst of it, by rule
 * @throws when there is no such kind
 */
export async function playScenarios ({ kinds, seed, runs, only }: ScenarioOpts): Promise<Record<GapRule, string[]>> {
  const broken: Record<GapRule, string[]> = { lost: [], violations: [], room: [], led: [] }
  const names = only === undefined ? Object.keys(kinds).flatMap(kind => Array.from({ length: runs }, (_, number) => `${kind}-${seed + number}`)) : [only]
  for (const name of names) {
    const [kind = '', number] = name.split('-')
    const draw = kinds[kind]
    if (draw === undefined) throw new Error(`no scenarios of the kind ${kind}`)
    const day = draw(Number(number))
    for (const [rule, worst] of await findBroken(day)) {
      broken[rule].push(`WISTERIASLIP_SCENARIO=${name}: ${JSON.stringify(worst)}`)
      if (only !== undefined) await printShortest(day, rule)
    }
  }
  return broken
}

async function findBroken (day: Day): Promise<Array<[GapRule, unknown]>> {
  const result = await playDay(day)
  const rules = Object.keys(gapChecks) as GapRule[]
  return rules.flatMap(rule => gapChecks[rule](result).slice(0, 1).map((worst): [GapRule, unknown] => [rule, worst]))
}

async function printShortest (day: Day, rule: GapRule): Promise<void> {
  console.log(JSON.stringify(await shorten(day, async shorter => gapChecks[rule](await playDay(shorter)).length > 0)))
}

function longestFirst (gaps: readonly RunGap[], by: 'roomMs' | 'ledMs'): RunGap[] {
  return gaps.toSorted((a, b) => b[by] - a[by])
}
