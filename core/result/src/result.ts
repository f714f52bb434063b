/**
 * Outcome of a fallible call: a value, or a tagged error of the layer that was called.
 * @typeParam T - the value
 * @typeParam E - a tagged union of errors
 */
export type Result<T, E> =
  | { readonly ok: true, readonly value: T }
  | { readonly ok: false, readonly error: E }

/**
 * Wraps a value.
 * @param value - what the call gave
 * @returns a successful result
 */
export function ok<T> (value: T): Result<T, never> {
  return { ok: true, value }
}

/**
 * Wraps an error.
 * @param error - a tagged error
 * @returns a failed result
 */
export function err<E> (error: E): Result<never, E> {
  return { ok: false, error }
}
