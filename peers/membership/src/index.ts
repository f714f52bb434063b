/**
 * Cluster membership of an entry: its lease and member record, the live members, and leadership of resources with
 * fencing tokens.
 * @module
 */
export { EntryLease, RENEWALS_PER_TTL } from './lease.ts'
export { Members, type Member } from './members.ts'
export { Leadership, TAKEOVER_DELAY_PER_RANK_MS, type LeaderRecord } from './leadership.ts'
export { StoreKeys } from './store-keys.ts'
