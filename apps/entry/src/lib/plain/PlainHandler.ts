/** Routes calls to plain services, and retries only calls that are safe to repeat. */
import { isNotStarted, type BackendError } from '@eelgrassmux/backends/BackendError'
import type { ServiceAnswer, ServiceCall } from '@eelgrassmux/backends/ServiceClient'
import { RetryBudget } from '@eelgrassmux/policy/limits/RetryBudget'
import type { Customer, PlainEndpoint, Profile, Service } from '@eelgrassmux/schema/configuration'
import type { ConfigurationIndex } from '@eelgrassmux/schema/ConfigurationIndex'
import { DispatchRecord, NOT_RUN_STATUSES, refuse, refuseUnknown, type Refusal } from '@eelgrassmux/schema/Refusal'
import { fail, succeed, type Result } from '@eelgrassmux/schema/Result'
import type { LabelledCounter } from '@eelgrassmux/telemetry/Telemetry'
import { refuseWhileStopping } from '../callers/refuseWhileStopping.js'
import type { GracefulShutdown } from '../GracefulShutdown.js'
import type { CallGuard, CallQuarantine } from '../quarantine/CallQuarantine.js'
import { readBody, refuseUndispatched } from '../callers/readBody.js'
import type { FleetWatcher } from '../fleet/FleetWatcher.js'
import type { AtMostOnceExecutor } from './AtMostOnceExecutor.js'

type PlainService = Extract<Service, { type: 'plain' }>

/** Largest body of a call to a plain service. */
const MAX_BODY_BYTES = 1024 * 1024

/** Longest idempotency key, in UTF-16 code units. */
const MAX_KEY_LENGTH = 200

/** Methods without side effects, which may always be repeated. */
const SAFE_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS'])

/** Lowest status that counts as a failure of the endpoint. */
const FIRST_FAILURE_STATUS = 500

/** Response header that tells whether the answer was stored by an earlier call with the same key. */
const REPEAT_HEADER = 'eelgrassmux-repeated'

/** Response header that tells how long a key is remembered, in hours. */
const WINDOW_HEADER = 'eelgrassmux-key-window-hours'

/** Serves `/services/{service}/{path}`. */
export class PlainHandler {
  readonly #budgets = new Map<string, RetryBudget>()
  #roundRobinCounter = 0

  /**
   * @param fleet - endpoints and their state
   * @param executor - runs calls that must not be repeated
   * @param configuration - returns the configuration in force
   * @param retries - counts retries by reason
   * @param windowHours - how long idempotency keys are remembered, in hours
   * @param stop - graceful shutdown of this host
   * @param quarantine - quarantine of calls that crash endpoints
   */
  constructor (
    private readonly fleet: FleetWatcher,
    private readonly executor: AtMostOnceExecutor,
    private readonly configuration: () => ConfigurationIndex,
    private readonly retries: LabelledCounter,
    private readonly windowHours: number,
    private readonly stop: GracefulShutdown,
    private readonly quarantine: CallQuarantine
  ) {}

  /**
   * Answers a call to a plain service.
   *
   * @param request - the caller's request
   * @param customer - authenticated customer
   * @param serviceName - service name from the path
   * @param path - rest of the path, including the query
   * @returns the endpoint's answer, or a refusal
   */
  async handle (request: Request, customer: Customer, serviceName: string, path: string): Promise<Result<Response, Refusal>> {
    const { services, profiles } = this.configuration()
    const service = services.get(serviceName)
    const profile = profiles.get(service?.profile ?? '')
    if (service?.type !== 'plain' || profile === undefined) {
      return fail(refuseUndispatched({ reason: 'unknown-service', status: 404, detail: `there is no plain service ${serviceName}`, field: 'service' }))
    }
    const body = await readBody(request, MAX_BODY_BYTES)
    if (!body.ok) return body
    const refusal = refuseWhileStopping(this.stop, { remainingMs: profile.deadlineMs, expectedMs: undefined })
    if (refusal !== undefined) return fail(refusal)
    const call: ServiceCall = {
      method: request.method,
      path,
      contentType: request.headers.get('content-type') ?? undefined,
      body: body.value.length === 0 ? undefined : body.value,
      timeoutMs: profile.deadlineMs
    }
    const identity = { customer: customer.name, method: request.method, target: `/services/${service.name}/${path}`, body: call.body === undefined ? undefined : Buffer.from(call.body) }
    const guard = this.quarantine.guard(service.name, this.fleet.serviceTable, identity)
    if (SAFE_METHODS.has(request.method)) return await this.#callWithRetries(service, profile, call, guard)
    if (service.atMostOnce) return await this.#callAtMostOnce(customer, service, call, request.headers.get('idempotency-key'), guard)
    return await this.#callWithRetries(service, { ...profile, retries: 0 }, call, guard)
  }

  async #callAtMostOnce (customer: Customer, service: PlainService, call: ServiceCall, key: string | null, guard: CallGuard): Promise<Result<Response, Refusal>> {
    if (key === null || key === '' || key.length > MAX_KEY_LENGTH) {
      const detail = `calls to ${service.name} that change something need an Idempotency-Key of 1 to ${MAX_KEY_LENGTH} characters`
      return fail(refuseUndispatched({ reason: 'idempotency-key-required', status: 400, detail, field: 'Idempotency-Key' }))
    }
    // The quarantine is checked only before the dispatch: a repeated call with a stored answer is not sent to an endpoint.
    const answered = await this.executor.run({
      record: { customer: customer.name, service: service.name, idempotencyKey: key },
      fingerprint: Buffer.concat([Buffer.from(JSON.stringify([call.method, call.path, call.contentType ?? ''])), call.body ?? new Uint8Array()]),
      timeoutMs: call.timeoutMs,
      dispatch: async timeoutMs => {
        const endpoint = this.#choose(service.name, new Set())
        const client = endpoint === undefined ? undefined : this.fleet.service(endpoint.name)
        if (endpoint === undefined || client === undefined || guard.refusal() !== undefined) return fail({ kind: 'not-started', reason: 'other' })
        return await this.#callGuarded(guard, endpoint.name, async () => await client.callOnce({ ...call, timeoutMs }))
      }
    })
    const rejection = answered.ok ? undefined : guard.refusal()
    if (!answered.ok) return rejection !== undefined && answered.error.run === 'not-run' ? fail(refuse(rejection, new DispatchRecord())) : answered
    if (promisesTooMuch(call, answered.value.answer)) return fail(refuseStatus(answered.value.answer))
    const response = toResponse(answered.value.answer)
    response.headers.set(REPEAT_HEADER, String(answered.value.isRepeat))
    response.headers.set(WINDOW_HEADER, String(this.windowHours))
    return succeed(response)
  }

  /** Retries while no endpoint has started the call; retries calls of safe methods also within the retry budget. */
  async #callWithRetries (service: PlainService, profile: Profile, call: ServiceCall, guard: CallGuard): Promise<Result<Response, Refusal>> {
    const dispatch = new DispatchRecord()
    const budget = this.#budget(service.name)
    budget.recordRequest()
    const deadline = performance.now() + profile.deadlineMs
    const triedEndpoints = new Set<string>()
    for (;;) {
      const rejection = guard.refusal()
      if (rejection !== undefined) return fail(refuse({ ...rejection, status: dispatch.mayHaveRun ? 502 : rejection.status }, dispatch))
      const endpoint = this.#choose(service.name, triedEndpoints)
      const client = endpoint === undefined ? undefined : this.fleet.service(endpoint.name)
      if (endpoint === undefined || client === undefined) {
        return fail(refuse({ reason: 'no-endpoint', status: 503, detail: `no endpoint of ${service.name} can take the call`, retryAfterSeconds: 1 }, dispatch))
      }
      triedEndpoints.add(endpoint.name)
      dispatch.markDispatched()
      const answer = await this.#callGuarded(guard, endpoint.name, async () => {
        const timed = { ...call, timeoutMs: Math.max(1, deadline - performance.now()) }
        return SAFE_METHODS.has(call.method) ? await client.call(timed) : await client.callOnce(timed)
      })
      if (answer.ok) {
        this.fleet.serviceTable.observeSuccess(endpoint.name)
        return promisesTooMuch(call, answer.value) ? fail(refuseStatus(answer.value)) : succeed(toResponse(answer.value))
      }
      const wasNotStarted = isNotStarted(answer.error)
      if (wasNotStarted) dispatch.markNotStarted()
      if (answer.error.kind !== 'not-started') this.fleet.serviceTable.observeFailure(endpoint.name, performance.now())
      const mayRepeat = wasNotStarted || (profile.retries > 0 && budget.tryConsume())
      if (!mayRepeat || triedEndpoints.size > Math.max(profile.retries, 1) || performance.now() >= deadline) {
        return fail(refuse({ reason: 'endpoint-failed', status: 502, detail: `the last attempt ended with ${answer.error.kind}`, retryAfterSeconds: 1 }, dispatch))
      }
      this.retries.count(wasNotStarted ? 'connect-failed' : 'idempotent-failure')
    }
  }

  /** Sends a call, and reports to the quarantine whether it was completed or lost with its endpoint. */
  async #callGuarded (guard: CallGuard, endpoint: string, send: () => Promise<Result<ServiceAnswer, BackendError>>): Promise<Result<ServiceAnswer, BackendError>> {
    const sentAt = performance.now()
    const answer = await send()
    if (answer.ok && answer.value.status < FIRST_FAILURE_STATUS) guard.noteWhole()
    if (!answer.ok && answer.error.kind === 'lost') guard.noteLost(endpoint, performance.now() - sentAt)
    if (!answer.ok && answer.error.kind === 'not-started') this.#noteRejection(endpoint, answer.error)
    return answer
  }

  /** Records the reason why an endpoint did not start a call, such as a requested pause. */
  #noteRejection (endpoint: string, { reason, retryAfterMs }: Extract<BackendError, { kind: 'not-started' }>): void {
    const now = performance.now()
    if (retryAfterMs !== undefined) this.fleet.serviceTable.observePause(endpoint, retryAfterMs, now)
    else if (reason === 'leaving') this.fleet.serviceTable.observeLeaving(endpoint)
    else this.fleet.serviceTable.observeFailure(endpoint, now)
  }

  #choose (service: string, tried: ReadonlySet<string>): PlainEndpoint | undefined {
    const now = performance.now()
    const eligible = this.configuration().endpointsOf(service)
      .filter(endpoint => !tried.has(endpoint.name) && this.fleet.serviceTable.ineligibility(endpoint.name, now) === undefined)
    this.#roundRobinCounter += 1
    return eligible[this.#roundRobinCounter % Math.max(1, eligible.length)]
  }

  #budget (service: string): RetryBudget {
    const present = this.#budgets.get(service)
    if (present !== undefined) return present
    const budget = new RetryBudget()
    this.#budgets.set(service, budget)
    return budget
  }
}

/** Whether callers would conclude from the status of an answer that the call was not executed. A call that is safe to repeat is harmed by no such conclusion. */
function promisesTooMuch ({ method }: ServiceCall, { status }: ServiceAnswer): boolean {
  return !SAFE_METHODS.has(method) && NOT_RUN_STATUSES.has(status)
}

function refuseStatus ({ status }: ServiceAnswer): Refusal {
  return refuseUnknown({ reason: 'endpoint-failed', status: 502, detail: `the endpoint answered ${status} without stating that it did not run the call` })
}

function toResponse ({ status, contentType, body }: ServiceAnswer): Response {
  const hasBody = body.length > 0 && status !== 204 && status !== 304
  return new Response(hasBody ? Buffer.from(body) : null, { status, headers: { 'content-type': contentType } })
}
