/**
 * The balancer hands most new connections to one of many entry hosts. Hosts learn the load of the others from reports
 * that lag, and are killed, frozen and out of touch. Checks that callers are served nearly as often as before: a host
 * closes the connections of a crowd unread, and their callers meet other hosts.
 */
import { isOverShare } from '@eelgrassmux/routing/admission/isOverShare'
import type { CheckRecorder, PromiseName } from '../CheckRecorder.js'
import type { Simulation } from '../Simulation.js'
import type { World } from '../World.js'

const HOST_COUNTS = [7, 61, 195]
const MAX_EVENTS = 10_000
const STEP_MS = 10

/** Time without a crowd, and how long a crowd lasts, in milliseconds. */
const BEFORE_MS = 4000
const CROWD_MS = 8000

/** Time from the start of a crowd from which requests count, in milliseconds. */
const STABLE_MS = 3000

/** Smallest share of the requests that is served, compared with the share before. */
const MIN_RELATIVE_SHARE = 3 / 4

/** Requests per second for each host, requests that one host can handle per second, and connections that it can close in the time of one request. */
const REQUESTS_PER_SECOND = 30
const HANDLED_PER_SECOND = 80
const CLOSES_PER_REQUEST = 20

/** Share of the requests that open a connection, without and with a crowd, and share of these that the balancer hands to one host. */
const NEW_CONNECTION_SHARE = 0.2
const NEW_CONNECTION_SHARE_IN_CROWD = 0.6
const CROWDED_SHARE = 0.8

/** Time that a request spends at an endpoint, and that its caller waits, in milliseconds. */
const ENDPOINT_MS = 100
const PATIENCE_MS = 1000

/** Attempts of a caller whose connections are closed unread. */
const MAX_ATTEMPTS = 3

/** Interval of the reports of load, and age from which they are not used, in milliseconds. */
const REPORT_MS = 300
const MAX_REPORT_AGE_MS = 5000

/** Requests that wait for a host's processor from which it does not keep up with its sockets. */
const LAGGING_REQUESTS = 8

/** Longest time for which a host is frozen, out of touch or down, in milliseconds. */
const MAX_FROZEN_MS = 800
const MAX_OUT_OF_TOUCH_MS = 2500
const RESTART_MS = 1500

interface PendingRequest {
  readonly arrivedAt: number
  readonly attempts: number
}

interface SimulatedHost {
  queue: PendingRequest[]
  /** Times at which the requests at endpoints end. */
  atEndpoints: number[]
  /** Requests that the host may still handle in this step. */
  credit: number
  frozenUntil: number
  downUntil: number
  outOfTouchUntil: number
  /** Requests of the other hosts at endpoints, as last reported. */
  others: number
  reportedAt: number
}

/** Requests of one time. */
interface Share {
  requests: number
  served: number
}

/** Checks the connections that a crowded host closes. */
export class CrowdWorld implements World {
  readonly #hosts: SimulatedHost[]
  readonly #before: Share = { requests: 0, served: 0 }
  readonly #during: Share = { requests: 0, served: 0 }
  readonly #retries: Array<{ readonly at: number, readonly request: PendingRequest }> = []
  #crowded: SimulatedHost

  /**
   * @param simulation - the seeded schedule
   * @param recorder - counts the checks
   * @param broken - promise whose mechanism is disabled
   */
  constructor (private readonly simulation: Simulation, private readonly recorder: CheckRecorder, private readonly broken: PromiseName | undefined) {
    this.#hosts = Array.from({ length: simulation.pickFrom(HOST_COUNTS) }, createHost)
    this.#crowded = simulation.pickFrom(this.#hosts)
  }

  async run (): Promise<void> {
    this.#stepLoop()
    this.#reportLoop()
    this.#faultLoop()
    await this.simulation.run({ events: MAX_EVENTS, until: BEFORE_MS + CROWD_MS + PATIENCE_MS })
    const [before, during] = [this.#before, this.#during].map(({ served, requests }) => served / requests)
    this.recorder.check('crowds-are-shared', (during ?? 0) >= MIN_RELATIVE_SHARE * (before ?? 0), () =>
      `${this.#during.served} of ${this.#during.requests} requests were served in a crowd at one of ${this.#hosts.length} hosts, ${this.#before.served} of ${this.#before.requests} before`)
  }

  get #isCrowd (): boolean { return this.simulation.now() >= BEFORE_MS && this.simulation.now() < BEFORE_MS + CROWD_MS }

  #stepLoop (): void {
    this.simulation.schedule(STEP_MS, () => {
      this.#stepLoop()
      const now = this.simulation.now()
      if (now < BEFORE_MS + CROWD_MS) this.#createRequests(now)
      for (const { request } of this.#takeDueRetries(now)) this.#connect(request, false)
      for (const host of this.#hosts) this.#advance(host, now)
    })
  }

  #createRequests (now: number): void {
    const expected = this.#hosts.length * REQUESTS_PER_SECOND * STEP_MS / 1000
    const count = Math.floor(expected) + (this.simulation.chance(expected % 1) ? 1 : 0)
    for (let created = 0; created < count; created += 1) {
      const request = { arrivedAt: now, attempts: 0 }
      this.#count(request, 'requests')
      const isNew = this.simulation.chance(this.#isCrowd ? NEW_CONNECTION_SHARE_IN_CROWD : NEW_CONNECTION_SHARE)
      if (isNew) this.#connect(request, this.#isCrowd && this.simulation.chance(CROWDED_SHARE))
      else this.#pickHost(now)?.queue.push(request)
    }
  }

  #connect (request: PendingRequest, isCrowding: boolean): void {
    const now = this.simulation.now()
    if (isCrowding && this.#crowded.downUntil > now) this.#crowded = this.#pickHost(now) ?? this.#crowded
    const host = isCrowding ? this.#crowded : this.#pickHost(now)
    if (host === undefined) return
    if (this.#closesUnread(host, now)) {
      host.credit -= 1 / CLOSES_PER_REQUEST
      if (request.attempts + 1 < MAX_ATTEMPTS) this.#retries.push({ at: now + this.simulation.random() * 100, request: { ...request, attempts: request.attempts + 1 } })
    } else {
      host.queue.push(request)
    }
  }

  #closesUnread (host: SimulatedHost, now: number): boolean {
    if (this.broken === 'crowds-are-shared' || now < host.frozenUntil) return false
    return isOverShare({
      ownRequests: host.queue.length + host.atEndpoints.length,
      otherRequests: now - host.reportedAt < MAX_REPORT_AGE_MS ? host.others : undefined,
      liveHosts: this.#hosts.length,
      isLagging: host.queue.length > LAGGING_REQUESTS
    })
  }

  #advance (host: SimulatedHost, now: number): void {
    host.atEndpoints = host.atEndpoints.filter(endsAt => endsAt > now)
    if (now < host.frozenUntil || now < host.downUntil) return
    host.credit = Math.min(host.credit, 0) + HANDLED_PER_SECOND * STEP_MS / 1000 + Math.max(0, host.credit % 1)
    while (host.credit >= 1 && host.queue.length > 0) {
      host.credit -= 1
      const request = host.queue.shift()
      if (request === undefined) return
      host.atEndpoints.push(now + ENDPOINT_MS)
      if (now + ENDPOINT_MS - request.arrivedAt <= PATIENCE_MS) this.#count(request, 'served')
    }
  }

  #count ({ arrivedAt }: PendingRequest, figure: keyof Share): void {
    if (arrivedAt < BEFORE_MS) this.#before[figure] += 1
    else if (arrivedAt >= BEFORE_MS + STABLE_MS) this.#during[figure] += 1
  }

  #reportLoop (): void {
    this.simulation.schedule(REPORT_MS, () => {
      this.#reportLoop()
      const now = this.simulation.now()
      const all = this.#hosts.reduce((sum, { atEndpoints }) => sum + atEndpoints.length, 0)
      for (const host of this.#hosts) {
        const others = all - host.atEndpoints.length
        if (now < host.outOfTouchUntil || now < host.frozenUntil || now < host.downUntil) continue
        this.simulation.send('leader', 'host', () => {
          host.others = others
          host.reportedAt = this.simulation.now()
        })
      }
    })
  }

  #faultLoop (): void {
    this.simulation.schedule(200 + this.simulation.random() * 400, () => {
      this.#faultLoop()
      const now = this.simulation.now()
      // Half of the faults meet the host with the crowd.
      const host = this.#isCrowd && this.simulation.chance(0.5) ? this.#crowded : this.simulation.pickFrom(this.#hosts)
      if (this.simulation.drawFault('freeze', 0.2)) host.frozenUntil = now + this.simulation.random() * MAX_FROZEN_MS
      if (this.simulation.drawFault('cut', 0.2)) host.outOfTouchUntil = now + this.simulation.random() * MAX_OUT_OF_TOUCH_MS
      if (this.simulation.drawFault('kill', 0.1)) Object.assign(host, createHost(), { downUntil: now + RESTART_MS })
    })
  }

  #takeDueRetries (now: number): Array<{ readonly request: PendingRequest }> {
    const due = this.#retries.filter(({ at }) => at <= now)
    const rest = this.#retries.filter(({ at }) => at > now)
    this.#retries.splice(0, this.#retries.length, ...rest)
    return due
  }

  #pickHost (now: number): SimulatedHost | undefined {
    const running = this.#hosts.filter(({ downUntil }) => downUntil <= now)
    return running.length === 0 ? undefined : this.simulation.pickFrom(running)
  }
}

function createHost (): SimulatedHost {
  return { queue: [], atEndpoints: [], credit: 0, frozenUntil: 0, downUntil: 0, outOfTouchUntil: 0, others: 0, reportedAt: Number.NEGATIVE_INFINITY }
}
