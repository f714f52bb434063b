/**
 * In-memory replica of the watched store keys. Its revision never decreases, whether updates come from the store or from
 * a peer.
 * @module
 */
export { Mirror, type Delta } from './mirror.ts'
export { followStore } from './follow.ts'
