/**
 * Outcome of a call that can fail: a value, or a tagged error of the called layer.
 * @typeParam T - type of the value
 * @typeParam E - tagged union of the errors
 */
export type Result<T, E> =
  | { readonly ok: true, readonly value: T }
  | { readonly ok: false, readonly error: E }

/**
 * Wraps a value in a result.
 * @param value - value of the call
 * @returns a successful result
 */
export function ok<T> (value: T): Result<T, never> {
  return { ok: true, value }
}

/**
 * Wraps an error in a result.
 * @param error - a tagged error
 * @returns a failed result
 */
export function err<E> (error: E): Result<never, E> {
  return { ok: false, error }
}
