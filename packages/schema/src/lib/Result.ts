/**
 * Outcome of an operation that can fail in an expected way.
 *
 * @public
 */
export type Result<Value, Failure> =
  | { readonly ok: true, readonly value: Value }
  | { readonly ok: false, readonly error: Failure }

/**
 * Wraps a success.
 *
 * @param value - what the operation produced
 * @returns a successful result
 * @example
 * ```ts
 * const parsed = succeed(3)
 * ```
 * @public
 */
export function succeed<Value> (value: Value): Result<Value, never> {
  return { ok: true, value }
}

/**
 * Wraps an expected failure.
 *
 * @param error - why the operation failed
 * @returns a failed result
 * @public
 */
export function fail<Failure> (error: Failure): Result<never, Failure> {
  return { ok: false, error }
}
