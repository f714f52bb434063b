import type { Day } from './day-events.ts'

/**
 * Leaves out the events of a scenario that do not matter.
 * @param day - a scenario that breaks a rule
 * @param isBroken - plays a scenario, and returns whether it breaks the rule
 * @returns a scenario that breaks it, and does not without any one of its events
 */
export async function shorten (day: Day, isBroken: (day: Day) => Promise<boolean>): Promise<Day> {
  let shortest = day
  for (let number = day.events.length - 1; number >= 0; number--) {
    const shorter = { ...shortest, events: shortest.events.toSpliced(number, 1) }
    if (await isBroken(shorter)) shortest = shorter
  }
  return shortest
}
