/**
 * Runs a call at most once per idempotency key: claims the key in the replicated
 * log, dispatches the call once, and records the outcome.
 */
import { createHash, randomUUID } from 'node:crypto'
import { isNotStarted, type BackendError } from '@eelgrassmux/backends/BackendError'
import type { ServiceAnswer } from '@eelgrassmux/backends/ServiceClient'
import type { Clock } from '@eelgrassmux/schema/Clock'
import { unreachable } from '@eelgrassmux/schema/invariant'
import type { WorkGate } from '@eelgrassmux/daemon/WorkGate'
import { DispatchRecord, refuse, refuseUnknown, type Refusal } from '@eelgrassmux/schema/Refusal'
import { fail, succeed, type Result } from '@eelgrassmux/schema/Result'
import type { ClaimResult, Command, CommandResult, RecordKey } from '@eelgrassmux/state/commands'
import type { LabelledCounter } from '@eelgrassmux/telemetry/Telemetry'
import type { ProposeError } from '@eelgrassmux/view/ControlLink'

/** Call to run at most once. */
export interface AtMostOnceCall {
  readonly record: RecordKey
  /** Bytes that must be identical in a repeated call with the same key. */
  readonly fingerprint: Uint8Array
  /** Longest time the dispatch may take, in milliseconds. */
  readonly timeoutMs: number
  /** Dispatches the call; called at most once. */
  dispatch (timeoutMs: number): Promise<Result<ServiceAnswer, BackendError>>
}

/** Dependencies of the executor. */
export interface AtMostOncePorts {
  propose (command: Command, deadlineMs: number): Promise<Result<CommandResult, ProposeError>>
  readonly clock: Clock
  readonly outcomes: LabelledCounter
  /** Makes a graceful shutdown wait for records that are still being written. */
  readonly work: WorkGate
}

/** Answer, and whether it was stored by an earlier call. */
export interface AtMostOnceAnswer {
  readonly answer: ServiceAnswer
  readonly isRepeat: boolean
}

/** Longest wait for a claim to be committed, in milliseconds. */
const CLAIM_TIMEOUT_MS = 2000

/** Longest wait for the outcome to be recorded before the caller is answered, in milliseconds. */
const MAX_RECORD_WAIT_MS = 2000

/** How long an outcome or a release is proposed in the background, in milliseconds. */
const BACKGROUND_TIMEOUT_MS = 60_000

/** Allowed difference between the wall clocks of hosts, in milliseconds. */
const CLOCK_SLACK_MS = 2000

/** Executes calls at most once. */
export class AtMostOnceExecutor {
  /** @param ports - dependencies */
  constructor (private readonly ports: AtMostOncePorts) {}

  /**
   * Runs a call, or returns the answer stored for its key.
   *
   * @param call - call to run
   * @returns the answer, or a refusal
   */
  async run (call: AtMostOnceCall): Promise<Result<AtMostOnceAnswer, Refusal>> {
    const dispatch = new DispatchRecord()
    const claimId = randomUUID()
    const claim: Command = {
      kind: 'claim',
      record: call.record,
      bodySha256: createHash('sha256').update(call.fingerprint).digest('hex'),
      claimId,
      deadlineAt: this.ports.clock.wallClock() + CLAIM_TIMEOUT_MS + call.timeoutMs + CLOCK_SLACK_MS
    }
    const claimed = await this.ports.propose(claim, CLAIM_TIMEOUT_MS)
    if (!claimed.ok || claimed.value.kind !== 'claim') {
      // The claim may still be committed, so it is released through the log and nothing is dispatched.
      this.#proposeInBackground({ kind: 'release', record: call.record, claimId })
      return this.#refuseUnknown('idempotency-unavailable', 'the claim could not be confirmed; whether an earlier call with this key ran is not known', 1)
    }
    const { result } = claimed.value
    if (result.kind === 'claimed') return await this.#dispatch(call, claimId, dispatch)
    return this.#answerClaim(result)
  }

  async #dispatch (call: AtMostOnceCall, claimId: string, dispatch: DispatchRecord): Promise<Result<AtMostOnceAnswer, Refusal>> {
    dispatch.markDispatched()
    const answer = await call.dispatch(call.timeoutMs)
    if (answer.ok) {
      this.ports.outcomes.count('ran')
      const { status, contentType, body } = answer.value
      const complete: Command = { kind: 'complete', record: call.record, claimId, answer: { status, contentType, body } }
      // The caller gets its answer in any case; a repeat that arrives before the record is committed is answered with "unknown".
      await Promise.race([this.#proposeInBackground(complete), this.ports.clock.sleep(MAX_RECORD_WAIT_MS)])
      return succeed({ answer: answer.value, isRepeat: false })
    }
    if (isNotStarted(answer.error)) {
      dispatch.markNotStarted()
      this.ports.outcomes.count('not-started')
      await Promise.race([this.#proposeInBackground({ kind: 'release', record: call.record, claimId }), this.ports.clock.sleep(MAX_RECORD_WAIT_MS)])
      return fail(refuse({ reason: 'endpoint-refused', status: 503, detail: 'the endpoint did not start the call', retryAfterSeconds: 1 }, dispatch))
    }
    this.ports.outcomes.count('outcome-unknown')
    return fail(refuse({ reason: 'endpoint-failed', status: 502, detail: `no answer from the endpoint: ${answer.error.kind}; it may have run the call` }, dispatch))
  }

  #answerClaim (result: Exclude<ClaimResult, { kind: 'claimed' }>): Result<AtMostOnceAnswer, Refusal> {
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

  /** Refuses a request that was not dispatched, with `run: 'unknown'` because an earlier call with its key may have run. */
  #refuseUnknown (
    reason: 'idempotency-unavailable' | 'idempotency-in-progress' | 'idempotency-outcome-unknown' | 'idempotency-key-reused',
    detail: string,
    retryAfterSeconds: number | undefined,
    status = 503
  ): Result<never, Refusal> {
    const field = status === 422 ? { field: 'Idempotency-Key' } : {}
    const retry = retryAfterSeconds === undefined ? {} : { retryAfterSeconds }
    return fail(refuseUnknown({ reason, status, detail, ...field, ...retry }))
  }

  /** Proposes a command until it is applied or the timeout has passed. */
  async #proposeInBackground (command: Command): Promise<void> {
    const ticket = this.ports.work.beginFollowUp()
    const proposed = await this.ports.propose(command, BACKGROUND_TIMEOUT_MS)
    if (!proposed.ok) this.ports.outcomes.count(`${command.kind}-not-recorded`)
    ticket.end()
  }
}
