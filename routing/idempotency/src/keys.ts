import { createHash, randomUUID } from 'node:crypto'

const ISSUED_KEY = /^ws1\.([0-9a-f-]{36})\.[0-9a-f-]{36}$/

/**
 * @param tenant - name of the tenant
 * @param workload - name of the workload
 * @param key - as the caller gave it
 * @returns identifier of the claim, under which nobody can guess another tenant's key
 */
export function claimId (tenant: string, workload: string, key: string): string {
  return createHash('sha256').update(JSON.stringify([tenant, workload, key])).digest('base64url').slice(0, 22)
}

/**
 * @param method - HTTP method
 * @param path - path with the query
 * @param body - whole body
 * @returns hash by which two requests with the same key are compared
 */
export function bodyHash (method: string, path: string, body: Buffer): string {
  return createHash('sha256').update(JSON.stringify([method, path])).update(body).digest('base64url').slice(0, 22)
}

/**
 * Issues a key whose fate this incarnation alone decides, without the store.
 * @param incarnation - of this entry
 * @returns a key that was never given out before
 */
export function issueKey (incarnation: string): string {
  return `ws1.${incarnation}.${randomUUID()}`
}

/**
 * @param key - as the caller gave it
 * @returns the incarnation that issued it, undefined for a key of the caller's own
 */
export function parseIssuedKey (key: string): string | undefined {
  return ISSUED_KEY.exec(key)?.[1]
}
