/** Errors of a single call to the service. */
export type DriverError =
  /** The reply is missing or malformed: the call may have taken effect. */
  | { readonly kind: 'lost', readonly message: string }
  /** The service rejected the call, which had no effect. */
  | { readonly kind: 'refused', readonly code: 'lease-not-found' | 'compacted' | 'overloaded' | 'invalid' | 'other', readonly message: string }

/** Errors of the store client. */
export type StoreError =
  /** A key was changed concurrently, or a guard no longer holds. */
  | { readonly kind: 'conflict', readonly code: 'STORE_CONFLICT', readonly message: string }
  /**
   * The service is unreachable, does not reply or rejects the call. `maybeApplied` tells whether a write may have taken
   * effect, or still may.
   */
  | { readonly kind: 'unavailable', readonly code: 'STORE_UNAVAILABLE', readonly maybeApplied: boolean, readonly message: string }
  /** The service does not accept the write for what it contains, such as its size, and would not accept it again. */
  | { readonly kind: 'rejected', readonly code: 'STORE_REJECTED', readonly message: string }
  /** The lease does not exist or has expired. */
  | { readonly kind: 'lease-lost', readonly code: 'STORE_LEASE_LOST', readonly message: string }
  /** The requested revision has been compacted; all keys must be read again. */
  | { readonly kind: 'compacted', readonly code: 'STORE_COMPACTED', readonly message: string }
  /** The call budget of this entry is exhausted; the call was not made. */
  | { readonly kind: 'over-budget', readonly code: 'STORE_OVER_BUDGET', readonly message: string }
  /** A stored value cannot be decoded. */
  | { readonly kind: 'corrupt', readonly code: 'STORE_CORRUPT', readonly message: string }

/**
 * Converts an error of a driver to an error of the store client.
 * @param error - error of the driver
 * @param opts - `write`: the failed call was a write, which may have taken effect if its reply was lost
 * @returns the error for the caller of the store client
 */
export function toStoreError (error: DriverError, opts: { write: boolean }): StoreError {
  if (error.kind === 'refused' && error.code === 'lease-not-found') {
    return { kind: 'lease-lost', code: 'STORE_LEASE_LOST', message: error.message }
  }
  if (error.kind === 'refused' && error.code === 'compacted') {
    return { kind: 'compacted', code: 'STORE_COMPACTED', message: error.message }
  }
  if (error.kind === 'refused' && error.code === 'invalid') {
    return { kind: 'rejected', code: 'STORE_REJECTED', message: error.message }
  }
  const maybeApplied = opts.write && error.kind === 'lost'
  return { kind: 'unavailable', code: 'STORE_UNAVAILABLE', maybeApplied, message: error.message }
}
