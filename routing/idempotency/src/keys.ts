import { createHash, randomUUID } from 'node:crypto'

const ISSUED_KEY_PATTERN = /^ws1\.([0-9a-f-]{36})\.[0-9a-f-]{36}$/

/**
 * @param tenant - name of the client account
 * @param workload - name of the workload
 * @param key - idempotency key sent by the caller
 * @returns ID of the claim: a hash over client account, workload and key, so that a client account never reaches the claim
 *   of another, even with the same key
 */
export function claimId (tenant: string, workload: string, key: string): string {
  return createHash('sha256').update(JSON.stringify([tenant, workload, key])).digest('base64url').slice(0, 22)
}

/**
 * @param method - HTTP method
 * @param path - path including the query string
 * @param body - complete body
 * @returns hash by which requests with the same key are compared
 */
export function requestHash (method: string, path: string, body: Buffer): string {
  return createHash('sha256').update(JSON.stringify([method, path])).update(body).digest('base64url').slice(0, 22)
}

/**
 * Issues a unique idempotency key. Claims of the key are decided by this incarnation of the entry alone, without the
 * store.
 * @param incarnation - incarnation of this entry
 * @returns the key
 */
export function issueKey (incarnation: string): string {
  return `ws1.${incarnation}.${randomUUID()}`
}

/**
 * @param key - idempotency key sent by the caller
 * @returns incarnation of the entry that issued the key; undefined for a key that the caller generated
 */
export function parseIssuedKey (key: string): string | undefined {
  return ISSUED_KEY_PATTERN.exec(key)?.[1]
}
