/**
 * Cluster membership of an entry: its lease and member record, the live members, and leadership of resources with
 * fencing tokens.
 * @module
 */
export { EntryLease } from './lease.ts'
export { Members, type Member } from './members.ts'
export { Leadership, type LeaderRecord } from './leadership.ts'
export { StoreKeys } from './store-keys.ts'
