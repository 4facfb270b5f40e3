/** Routes calls to plain services: repeats only what may be repeated. */
import { isNotStarted, type BackendError } from '@eelgrassmux/backends/BackendError'
import type { ServiceAnswer, ServiceCall } from '@eelgrassmux/backends/ServiceClient'
import { RetryBudget } from '@eelgrassmux/policy/limits/RetryBudget'
import type { Customer, PlainEndpoint, Profile, Service } from '@eelgrassmux/schema/configuration'
import type { ConfigurationIndex } from '@eelgrassmux/schema/ConfigurationIndex'
import { DispatchRecord, refuse, type Refusal } from '@eelgrassmux/schema/Refusal'
import { fail, succeed, type Result } from '@eelgrassmux/schema/Result'
import type { LabelledCounter } from '@eelgrassmux/telemetry/Telemetry'
import { refuseWhileStopping } from '../callers/refuseWhileStopping.js'
import type { GracefulShutdown } from '../GracefulShutdown.js'
import type { CallGuard, CallQuarantine } from '../quarantine/CallQuarantine.js'
import { readBody, refuseUnseen } from '../callers/readBody.js'
import type { FleetWatcher } from '../fleet/FleetWatcher.js'
import type { AtMostOnceExecutor } from './AtMostOnceExecutor.js'

type PlainService = Extract<Service, { type: 'plain' }>

/** Largest body to a plain service, in bytes. */
const BODY_LIMIT_BYTES = 1024 * 1024

/** Longest idempotency key, in characters. */
const KEY_LIMIT = 200

/** Methods that have no effect and may always be repeated. */
const SAFE_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS'])

/** Answers from this status on say that the endpoint failed. */
const FIRST_FAILURE_STATUS = 500

/** Marks an answer that was stored by an earlier call with the same key. */
const REPEAT_HEADER = 'eelgrassmux-repeated'

/** States how long a key is remembered, in hours. */
const WINDOW_HEADER = 'eelgrassmux-key-window-hours'

/** Serves `/services/{service}/{path}`. */
export class PlainHandler {
  readonly #budgets = new Map<string, RetryBudget>()
  #turn = 0

  /**
   * @param fleet - endpoints
   * @param once - runs calls that may not be repeated
   * @param configuration - configuration in force
   * @param retries - counts retries by reason
   * @param windowHours - how long keys are remembered
   * @param stop - the planned stop
   * @param quarantine - of calls that end endpoints
   */
  constructor (
    private readonly fleet: FleetWatcher,
    private readonly once: AtMostOnceExecutor,
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
   * @param customer - who asks
   * @param serviceName - from the path
   * @param path - rest of the path with its query
   * @returns the endpoint's answer, or a refusal
   */
  async handle (request: Request, customer: Customer, serviceName: string, path: string): Promise<Result<Response, Refusal>> {
    const { services, profiles } = this.configuration()
    const service = services.get(serviceName)
    const profile = profiles.get(service?.profile ?? '')
    if (service?.type !== 'plain' || profile === undefined) {
      return fail(refuseUnseen({ reason: 'unknown-service', status: 404, detail: `there is no plain service ${serviceName}`, field: 'service' }))
    }
    const body = await readBody(request, BODY_LIMIT_BYTES)
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
    if (SAFE_METHODS.has(request.method)) return await this.#repeatable(service, profile, call, guard)
    if (service.atMostOnce) return await this.#atMostOnce(customer, service, call, request.headers.get('idempotency-key'), guard)
    return await this.#repeatable(service, { ...profile, retries: 0 }, call, guard)
  }

  async #atMostOnce (customer: Customer, service: PlainService, call: ServiceCall, key: string | null, guard: CallGuard): Promise<Result<Response, Refusal>> {
    if (key === null || key === '' || key.length > KEY_LIMIT) {
      const detail = `calls to ${service.name} that change something need an Idempotency-Key of 1 to ${KEY_LIMIT} characters`
      return fail(refuseUnseen({ reason: 'idempotency-key-required', status: 400, detail, field: 'Idempotency-Key' }))
    }
    // A repeat of a call that has an answer is not sent to any endpoint, so it isn't asked here whether it is quarantined.
    const answered = await this.once.run({
      record: { customer: customer.name, service: service.name, idempotencyKey: key },
      fingerprint: Buffer.concat([Buffer.from(JSON.stringify([call.method, call.path, call.contentType ?? ''])), call.body ?? new Uint8Array()]),
      timeoutMs: call.timeoutMs,
      dispatch: async timeoutMs => {
        const endpoint = this.#choose(service.name, new Set())
        const client = endpoint === undefined ? undefined : this.fleet.service(endpoint.name)
        if (endpoint === undefined || client === undefined || guard.refusal() !== undefined) return fail({ kind: 'not-started', reason: 'other' })
        return await this.#guarded(guard, endpoint.name, async () => await client.callOnce({ ...call, timeoutMs }))
      }
    })
    const held = answered.ok ? undefined : guard.refusal()
    if (!answered.ok) return held !== undefined && answered.error.run === 'not-run' ? fail(refuse(held, new DispatchRecord())) : answered
    const response = toResponse(answered.value.answer)
    response.headers.set(REPEAT_HEADER, String(answered.value.isRepeat))
    response.headers.set(WINDOW_HEADER, String(this.windowHours))
    return succeed(response)
  }

  /** Retries only while no endpoint has started the call, or, for a safe method, under the budget. */
  async #repeatable (service: PlainService, profile: Profile, call: ServiceCall, guard: CallGuard): Promise<Result<Response, Refusal>> {
    const dispatch = new DispatchRecord()
    const budget = this.#budget(service.name)
    budget.recordRequest()
    const deadline = performance.now() + profile.deadlineMs
    const tried = new Set<string>()
    for (;;) {
      const held = guard.refusal()
      if (held !== undefined) return fail(refuse({ ...held, status: dispatch.mayHaveRun ? 502 : held.status }, dispatch))
      const endpoint = this.#choose(service.name, tried)
      const client = endpoint === undefined ? undefined : this.fleet.service(endpoint.name)
      if (endpoint === undefined || client === undefined) {
        return fail(refuse({ reason: 'no-endpoint', status: 503, detail: `no endpoint of ${service.name} can take the call`, retryAfterSeconds: 1 }, dispatch))
      }
      tried.add(endpoint.name)
      dispatch.markDispatched()
      const answer = await this.#guarded(guard, endpoint.name, async () => await client.call({ ...call, timeoutMs: Math.max(1, deadline - performance.now()) }))
      if (answer.ok) {
        this.fleet.serviceTable.observeSuccess(endpoint.name)
        return succeed(toResponse(answer.value))
      }
      const isUnstarted = isNotStarted(answer.error)
      if (isUnstarted) dispatch.markNotStarted()
      if (answer.error.kind !== 'not-started') this.fleet.serviceTable.observeFailure(endpoint.name, performance.now())
      const mayRepeat = isUnstarted || (profile.retries > 0 && budget.tryConsume())
      if (!mayRepeat || tried.size > Math.max(profile.retries, 1) || performance.now() >= deadline) {
        return fail(refuse({ reason: 'endpoint-failed', status: 502, detail: `the last attempt ended with ${answer.error.kind}`, retryAfterSeconds: 1 }, dispatch))
      }
      this.retries.count(isUnstarted ? 'connect-failed' : 'idempotent-failure')
    }
  }

  /** Notes what a call shows of itself: that its endpoint broke off under it, or that it came through. */
  async #guarded (guard: CallGuard, endpoint: string, send: () => Promise<Result<ServiceAnswer, BackendError>>): Promise<Result<ServiceAnswer, BackendError>> {
    const sentAt = performance.now()
    const answer = await send()
    if (answer.ok && answer.value.status < FIRST_FAILURE_STATUS) guard.noteWhole()
    if (!answer.ok && answer.error.kind === 'lost') guard.noteLost(endpoint, performance.now() - sentAt)
    if (!answer.ok && answer.error.kind === 'not-started') this.#noteRejection(endpoint, answer.error)
    return answer
  }

  /** Takes what an endpoint asks for that did not start a call. */
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
    this.#turn += 1
    return eligible[this.#turn % Math.max(1, eligible.length)]
  }

  #budget (service: string): RetryBudget {
    const present = this.#budgets.get(service)
    if (present !== undefined) return present
    const budget = new RetryBudget()
    this.#budgets.set(service, budget)
    return budget
  }
}

function toResponse ({ status, contentType, body }: ServiceAnswer): Response {
  const hasBody = body.length > 0 && status !== 204 && status !== 304
  return new Response(hasBody ? Buffer.from(body) : null, { status, headers: { 'content-type': contentType } })
}
