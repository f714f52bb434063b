import { createHash } from 'node:crypto'
import type { Account } from '@wisteriaslip/jobs.model'

const BEARER = /^Bearer +(\S.*)$/i

/** Why a call gets status 401. */
export type RefusalReason = 'no-key' | 'unknown-key'

/** Whose key a call carries. */
export type Authentication =
  | { readonly kind: 'account', readonly account: Account }
  /** `digest` is that of the key that is not known, undefined where the call carries none. */
  | { readonly kind: 'unknown', readonly reason: RefusalReason, readonly digest: string | undefined }

/**
 * @param key - a key of a client account, as text of an operators' document
 * @returns its SHA-256 digest, in hex
 */
export function digestOfKey (key: string): string {
  return createHash('sha256').update(key, 'utf8').digest('hex')
}

/**
 * The accounts of one configuration, by the digests of their keys. Only digests are compared, so that the time taken says
 * nothing about a key.
 */
export class AccountDirectory {
  private readonly byDigest = new Map<string, Account>()

  /** @param accounts - accounts of the configuration; a digest that two of them have belongs to the first */
  constructor (accounts: readonly Account[]) {
    for (const account of accounts) {
      for (const digest of account.keyDigests) if (!this.byDigest.has(digest)) this.byDigest.set(digest, account)
    }
  }

  /**
   * @param authorization - value of the call's Authorization header, undefined without one
   * @returns the account whose key it holds
   */
  authenticate (authorization: string | undefined): Authentication {
    const key = BEARER.exec(authorization ?? '')?.[1]
    if (key === undefined) return { kind: 'unknown', reason: 'no-key', digest: undefined }
    const digest = digestOfHeader(key)
    const account = this.byDigest.get(digest)
    return account === undefined ? { kind: 'unknown', reason: 'unknown-key', digest } : { kind: 'account', account }
  }
}

/** Headers are read as one character for each byte. */
function digestOfHeader (key: string): string {
  return createHash('sha256').update(key, 'latin1').digest('hex')
}
