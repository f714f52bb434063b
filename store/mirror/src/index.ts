/**
 * In-memory replica of the watched store keys. Neither its revision nor any document goes back, whether updates come
 * from the store or from a peer.
 * @module
 */
export { Mirror, type Delta } from './mirror.ts'
export { followStore } from './follow.ts'
