/**
 * Refusals to callers, and the proof that a request was not run.
 *
 * A refusal that states "not run" requires a {@link NotDispatched} token. Only a
 * {@link DispatchRecord} issues one, and only while no attempt may have reached an
 * endpoint, so a refusal cannot state "not run" once a byte may have been sent.
 */
import { assertInvariant } from './invariant.js'

/** Whether a refused request may have been executed by an endpoint. */
export type RunState = 'not-run' | 'unknown'

/** Statuses from which callers conclude that a request was not executed and never will be. */
export const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])

const BAD_GATEWAY = 502

/** Why a request was refused. Used as the last part of the problem type and as a metric label. */
export const REFUSAL_REASONS = [
  'malformed-json', 'invalid-body', 'headers-too-large', 'body-too-large', 'unknown-credential', 'unknown-service', 'unknown-path',
  'idempotency-key-required', 'idempotency-key-reused', 'idempotency-in-progress', 'idempotency-outcome-unknown',
  'idempotency-unavailable', 'unknown-run', 'draining', 'configuration-stale', 'over-share', 'host-overloaded',
  'deadline-unreachable', 'no-endpoint', 'endpoint-failed', 'endpoint-refused', 'deadline-passed', 'request-quarantined', 'endpoints-out-of-reach', 'stream-not-resumable',
  'malformed-headers', 'internal-fault', 'host-memory'
] as const

/** @public */
export type RefusalReason = typeof REFUSAL_REASONS[number]

/** Proof that no endpoint can have run a request. */
export class NotDispatched {
  private readonly proven = true

  /** @internal Only {@link DispatchRecord} constructs this. */
  static issue (record: DispatchRecord): NotDispatched {
    assertInvariant(!record.mayHaveRun, 'not-run-is-true', () => 'proof requested after a dispatch')
    return new NotDispatched()
  }

  private constructor () {
    assertInvariant(this.proven, 'not-run-is-true', () => 'constructed without proof')
  }
}

/** Tracks whether a request may have reached an endpoint. */
export class DispatchRecord {
  #attemptsThatMayHaveRun = 0

  /** Whether any attempt was dispatched that is not known to have failed before it started. */
  get mayHaveRun (): boolean {
    return this.#attemptsThatMayHaveRun > 0
  }

  /** Must be called before the first byte of an attempt is sent. */
  markDispatched (): void {
    this.#attemptsThatMayHaveRun += 1
  }

  /** Must be called when the endpoint, or a failure to connect, shows that the last attempt did not start. */
  markNotStarted (): void {
    assertInvariant(this.#attemptsThatMayHaveRun > 0, 'dispatch-balance', () => 'no attempt to retract')
    this.#attemptsThatMayHaveRun -= 1
  }

  /**
   * Issues the proof required for a "not run" refusal.
   *
   * @returns the proof, or undefined if the request may have run
   */
  proveNotRun (): NotDispatched | undefined {
    return this.mayHaveRun ? undefined : NotDispatched.issue(this)
  }
}

/** A final refusal to a caller. */
export interface Refusal {
  readonly reason: RefusalReason
  readonly status: number
  readonly run: RunState
  readonly detail: string
  /** Name of the invalid field, if the refusal is due to one. */
  readonly field?: string
  /** Seconds after which the caller should retry. */
  readonly retryAfterSeconds?: number
}

/** All parts of a refusal except the run state. */
export interface RefusalDetails {
  readonly reason: RefusalReason
  readonly status: number
  readonly detail: string
  readonly field?: string
  readonly retryAfterSeconds?: number
}

/**
 * Creates a refusal that states "not run".
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
 * Creates a refusal that states "not run" if the record proves it, and "unknown" otherwise. Without the proof, a status
 * that states the same becomes 502.
 *
 * @param details - reason, status and text
 * @param record - record of the attempts so far
 * @returns the refusal
 */
export function refuse (details: RefusalDetails, record: DispatchRecord): Refusal {
  const proof = record.proveNotRun()
  return proof === undefined ? refuseUnknown(details) : refuseNotRun(details, proof)
}

/**
 * Creates a refusal of a request that may have run.
 *
 * @param details - reason, status and text
 * @returns the refusal, with status 502 in place of one from which callers conclude that the request has not run
 */
export function refuseUnknown (details: RefusalDetails): Refusal {
  const status = NOT_RUN_STATUSES.has(details.status) ? BAD_GATEWAY : details.status
  return { ...details, status, run: 'unknown' }
}
