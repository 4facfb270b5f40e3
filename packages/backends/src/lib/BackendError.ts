/** Why a back end gave no useful answer. */
export type BackendError =
  /** No connection was made: the back end never saw the request. */
  | { readonly kind: 'connect-failed' }
  /** The back end itself says that it did not start the request. */
  | {
    readonly kind: 'not-started'
    readonly reason: 'leaving' | 'full' | 'version-mismatch' | 'unknown-import' | 'other'
    /** Milliseconds for which it wants nothing more from this host, if it says so. */
    readonly retryAfterMs?: number
  }
  /** The back end may have acted on it. */
  | { readonly kind: 'lost', readonly detail: string }
  | { readonly kind: 'timeout' }
  /** It answered with something that its protocol does not allow. */
  | { readonly kind: 'malformed', readonly detail: string }
  | { readonly kind: 'rejected', readonly status: number, readonly detail: string }

/**
 * Whether the back end certainly did not start the request.
 *
 * @param error - what went wrong
 */
export function isNotStarted (error: BackendError): boolean {
  return error.kind === 'connect-failed' || error.kind === 'not-started'
}
