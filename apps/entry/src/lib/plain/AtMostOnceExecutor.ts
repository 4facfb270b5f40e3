/**
 * Runs a call at most once for its idempotency key: claim in the agreed log, one
 * dispatch, recorded outcome.
 */
import { createHash, randomUUID } from 'node:crypto'
import { isNotStarted, type BackendError } from '@eelgrassmux/backends/BackendError'
import type { ServiceAnswer } from '@eelgrassmux/backends/ServiceClient'
import type { Clock } from '@eelgrassmux/schema/Clock'
import { unreachable } from '@eelgrassmux/schema/invariant'
import type { WorkGate } from '@eelgrassmux/daemon/WorkGate'
import { DispatchRecord, refuse, type Refusal } from '@eelgrassmux/schema/Refusal'
import { fail, succeed, type Result } from '@eelgrassmux/schema/Result'
import type { ClaimResult, Command, CommandResult, RecordKey } from '@eelgrassmux/state/commands'
import type { LabelledCounter } from '@eelgrassmux/telemetry/Telemetry'
import type { ProposeError } from '@eelgrassmux/view/ControlLink'

/** A call to run at most once. */
export interface OnceCall {
  readonly record: RecordKey
  /** Everything that must be the same in a repeat. */
  readonly fingerprint: Uint8Array
  /** Longest time the dispatch may take, in milliseconds. */
  readonly timeoutMs: number
  /** Makes the one dispatch. */
  dispatch (timeoutMs: number): Promise<Result<ServiceAnswer, BackendError>>
}

/** What the task needs from around it. */
export interface OncePorts {
  propose (command: Command, deadlineMs: number): Promise<Result<CommandResult, ProposeError>>
  readonly clock: Clock
  readonly outcomes: LabelledCounter
  /** A planned stop waits for records that are still being written. */
  readonly work: WorkGate
}

/** An answer, and whether it is a repeat of a stored one. */
export interface OnceAnswer {
  readonly answer: ServiceAnswer
  readonly isRepeat: boolean
}

/** Longest wait for a claim to be agreed on, in milliseconds. */
const CLAIM_MS = 2000

/** Wait for the outcome to be recorded before the caller is answered anyway, in milliseconds. */
const RECORD_WAIT_MS = 2000

/** How long recording an outcome or a release is tried in the background, in milliseconds. */
const BACKGROUND_MS = 60_000

/** Slack between hosts' wall clocks, in milliseconds. */
const CLOCK_SLACK_MS = 2000

/** Makes calls at most once. */
export class AtMostOnceExecutor {
  /** @param ports - surroundings */
  constructor (private readonly ports: OncePorts) {}

  /**
   * Runs a call, or repeats the stored answer of its key.
   *
   * @param call - what to run
   * @returns the answer, or a refusal
   */
  async run (call: OnceCall): Promise<Result<OnceAnswer, Refusal>> {
    const dispatch = new DispatchRecord()
    const claimId = randomUUID()
    const claim: Command = {
      kind: 'claim',
      record: call.record,
      bodySha256: createHash('sha256').update(call.fingerprint).digest('hex'),
      claimId,
      deadlineAt: this.ports.clock.wallClock() + CLAIM_MS + call.timeoutMs + CLOCK_SLACK_MS
    }
    const claimed = await this.ports.propose(claim, CLAIM_MS)
    if (!claimed.ok || claimed.value.kind !== 'claim') {
      // The claim may still be agreed on: it is withdrawn through the log and nothing is dispatched.
      this.#inBackground({ kind: 'release', record: call.record, claimId })
      return this.#refuseUnknown('idempotency-unavailable', 'the claim could not be confirmed; whether an earlier call with this key ran is not known', 1)
    }
    const { result } = claimed.value
    if (result.kind === 'claimed') return await this.#dispatch(call, claimId, dispatch)
    return this.#answerClaim(result)
  }

  async #dispatch (call: OnceCall, claimId: string, dispatch: DispatchRecord): Promise<Result<OnceAnswer, Refusal>> {
    dispatch.markDispatched()
    const answer = await call.dispatch(call.timeoutMs)
    if (answer.ok) {
      this.ports.outcomes.count('ran')
      const { status, contentType, body } = answer.value
      const complete: Command = { kind: 'complete', record: call.record, claimId, answer: { status, contentType, body } }
      // The caller gets its answer in any case; a repeat before the record is agreed on is told "unknown".
      await Promise.race([this.#inBackground(complete), this.ports.clock.sleep(RECORD_WAIT_MS)])
      return succeed({ answer: answer.value, isRepeat: false })
    }
    if (isNotStarted(answer.error)) {
      dispatch.markNotStarted()
      this.ports.outcomes.count('not-started')
      await Promise.race([this.#inBackground({ kind: 'release', record: call.record, claimId }), this.ports.clock.sleep(RECORD_WAIT_MS)])
      return fail(refuse({ reason: 'endpoint-refused', status: 503, detail: 'the endpoint did not start the call', retryAfterSeconds: 1 }, dispatch))
    }
    this.ports.outcomes.count('outcome-unknown')
    return fail(refuse({ reason: 'endpoint-failed', status: 502, detail: `no answer from the endpoint: ${answer.error.kind}; it may have run the call` }, dispatch))
  }

  #answerClaim (result: Exclude<ClaimResult, { kind: 'claimed' }>): Result<OnceAnswer, Refusal> {
    this.ports.outcomes.count(result.kind)
    switch (result.kind) {
      case 'answered': return succeed({ answer: result.answer, isRepeat: true })
      case 'in-progress': {
        const seconds = Math.max(1, Math.ceil((result.deadlineAt - this.ports.clock.wallClock()) / 1000))
        return this.#refuseUnknown('idempotency-in-progress', 'a call with this key is under way', Math.min(seconds, 5), 409)
      }
      case 'outcome-unknown':
        return this.#refuseUnknown('idempotency-outcome-unknown', 'a call with this key was started and its outcome was lost; it will not be run again', undefined, 409)
      case 'body-differs':
        return this.#refuseUnknown('idempotency-key-reused', 'the key was used with another request', undefined, 422)
      case 'released':
        return this.#refuseUnknown('idempotency-unavailable', 'the claim was withdrawn', 1)
      default: return unreachable(result)
    }
  }

  /** This request was not dispatched, but the refusal is about the key: an earlier call with it may have run. */
  #refuseUnknown (
    reason: 'idempotency-unavailable' | 'idempotency-in-progress' | 'idempotency-outcome-unknown' | 'idempotency-key-reused',
    detail: string,
    retryAfterSeconds: number | undefined,
    status = 503
  ): Result<never, Refusal> {
    const field = status === 422 ? { field: 'Idempotency-Key' } : {}
    const retry = retryAfterSeconds === undefined ? {} : { retryAfterSeconds }
    return fail({ reason, status, detail, run: 'unknown', ...field, ...retry })
  }

  /** Proposes until it is applied or the time is up. */
  async #inBackground (command: Command): Promise<void> {
    const ticket = this.ports.work.beginFollowUp()
    const proposed = await this.ports.propose(command, BACKGROUND_MS)
    if (!proposed.ok) this.ports.outcomes.count(`${command.kind}-not-recorded`)
    ticket.end()
  }
}
