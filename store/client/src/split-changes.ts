/** Entries of one write that every supported service accepts: guards, puts and deletes together. */
const MAX_WRITE_ENTRIES = 32
/** The guard of a change's prior version, and its put or delete. */
const ENTRIES_PER_CHANGE = 2

/**
 * Splits items that are independent of each other into groups that one write can hold.
 * @param items - the items, of which each becomes the given number of changes and guards
 * @param opts - `changes`, `guards`: of each item (1 and 0 by default); `commonGuards`: guards of each write (0 by default)
 * @returns the groups, in the same order
 */
export function splitChanges<T> (items: readonly T[], opts: { changes?: number, guards?: number, commonGuards?: number } = {}): T[][] {
  const entriesPerItem = (opts.changes ?? 1) * ENTRIES_PER_CHANGE + (opts.guards ?? 0)
  const size = Math.max(1, Math.floor((MAX_WRITE_ENTRIES - (opts.commonGuards ?? 0)) / entriesPerItem))
  const groups: T[][] = []
  for (let at = 0; at < items.length; at += size) groups.push(items.slice(at, at + size))
  return groups
}
