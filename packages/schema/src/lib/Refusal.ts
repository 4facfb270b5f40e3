/**
 * Refusals to callers, and the proof that a request was not run.
 *
 * A refusal that says "not run" needs a {@link NotDispatched} token. Only a
 * {@link DispatchRecord} hands one out, and only while nothing has left for an
 * endpoint, so "not run" cannot be stated once a byte may have been sent.
 */
import { assertInvariant } from './invariant.js'

/** Whether a refused request may have been executed by an endpoint. */
export type RunState = 'not-run' | 'unknown'

/** Why a request was refused: the last part of the problem type, and the metric label. */
export const REFUSAL_REASONS = [
  'malformed-json', 'invalid-body', 'headers-too-large', 'body-too-large', 'unknown-credential', 'unknown-service', 'unknown-path',
  'idempotency-key-required', 'idempotency-key-reused', 'idempotency-in-progress', 'idempotency-outcome-unknown',
  'idempotency-unavailable', 'unknown-run', 'draining', 'configuration-stale', 'over-share',
  'deadline-unreachable', 'no-endpoint', 'endpoint-failed', 'endpoint-refused', 'deadline-passed', 'request-quarantined'
] as const

/** @public */
export type RefusalReason = typeof REFUSAL_REASONS[number]

/** Proof that no byte of a request has left for any endpoint. */
export class NotDispatched {
  private readonly proven = true

  /** @internal Only {@link DispatchRecord} constructs this. */
  static issue (record: DispatchRecord): NotDispatched {
    assertInvariant(!record.mayHaveRun, 'not-run-is-true', () => 'proof asked for after a dispatch')
    return new NotDispatched()
  }

  private constructor () {
    assertInvariant(this.proven, 'not-run-is-true', () => 'unproven')
  }
}

/** Tracks whether a request may have reached an endpoint. */
export class DispatchRecord {
  #attemptsThatMayHaveRun = 0

  /** True once an attempt was sent whose outcome is not known to be "did not start". */
  get mayHaveRun (): boolean {
    return this.#attemptsThatMayHaveRun > 0
  }

  /** Call before the first byte is handed to the network. */
  markDispatched (): void {
    this.#attemptsThatMayHaveRun += 1
  }

  /** Call when the endpoint itself, or a failed connect, says that the last attempt did not start. */
  markNotStarted (): void {
    assertInvariant(this.#attemptsThatMayHaveRun > 0, 'dispatch-balance', () => 'no attempt to retract')
    this.#attemptsThatMayHaveRun -= 1
  }

  /**
   * Hands out the proof needed for a "not run" refusal.
   *
   * @returns the proof, or undefined if the request may have run
   */
  proveNotRun (): NotDispatched | undefined {
    return this.mayHaveRun ? undefined : NotDispatched.issue(this)
  }
}

/** A final negative answer to a caller. */
export interface Refusal {
  readonly reason: RefusalReason
  readonly status: number
  readonly run: RunState
  readonly detail: string
  /** Name of the offending field, if one is to blame. */
  readonly field?: string
  /** Seconds after which a retry makes sense. */
  readonly retryAfterSeconds?: number
}

/** What a refusal says besides its run state. */
export interface RefusalDetails {
  readonly reason: RefusalReason
  readonly status: number
  readonly detail: string
  readonly field?: string
  readonly retryAfterSeconds?: number
}

/**
 * Builds a refusal that states "not run".
 *
 * @param details - reason, status and text
 * @param proof - proof that nothing was dispatched
 * @returns the refusal
 */
export function refuseNotRun (details: RefusalDetails, proof: NotDispatched): Refusal {
  assertInvariant(proof instanceof NotDispatched, 'not-run-is-true', () => 'refusal without proof')
  return { ...details, run: 'not-run' }
}

/**
 * Builds the strongest refusal the record allows.
 *
 * @param details - reason, status and text
 * @param record - what was dispatched so far
 * @returns a refusal that says "not run" only if that is proven
 */
export function refuse (details: RefusalDetails, record: DispatchRecord): Refusal {
  const proof = record.proveNotRun()
  return proof === undefined ? { ...details, run: 'unknown' } : refuseNotRun(details, proof)
}
