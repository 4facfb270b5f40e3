/** Why a call to a back end failed. */
export type BackendError =
  /** No connection was established, so the back end did not receive the request. */
  | { readonly kind: 'connect-failed' }
  /** The back end states that it did not start the request. */
  | {
    readonly kind: 'not-started'
    readonly reason: 'leaving' | 'full' | 'version-mismatch' | 'unknown-import' | 'other'
    /** Milliseconds for which the back end asks this host for no further requests, if it states a pause. */
    readonly retryAfterMs?: number
  }
  /** The call failed after the back end may have started the request. */
  | { readonly kind: 'lost', readonly detail: string }
  | { readonly kind: 'timeout' }
  /** The answer violates the back end's protocol. */
  | { readonly kind: 'malformed', readonly detail: string }
  | { readonly kind: 'rejected', readonly status: number, readonly detail: string }

/**
 * Whether it is certain that the back end did not start the request.
 *
 * @param error - error of the call
 */
export function isNotStarted (error: BackendError): boolean {
  return error.kind === 'connect-failed' || error.kind === 'not-started'
}
