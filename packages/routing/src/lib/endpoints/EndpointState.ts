/** State that one entry host keeps about one endpoint. */
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import { MAX_REPORTED_AGE_MS, type LoadFigures } from '../load/loadReport.js'
import { Brittleness } from './Brittleness.js'
import { ContactTimes } from '../reachability/ContactTimes.js'
import { EndpointHealth } from './EndpointHealth.js'
import { incarnationName } from './incarnationName.js'
import { MachinePace, USUAL_PACE, type PaceStatement } from './MachinePace.js'
import { RequestedPause } from './RequestedPause.js'
import { RunningStreams } from './RunningStreams.js'
import { SendTimes } from './SendTimes.js'
import { Slowness } from './Slowness.js'
import { StatedRateLimit } from './StatedRateLimit.js'

/** Load that an endpoint states in its answers. */
export interface StatedLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** How many times as long as usual work takes on the endpoint's machine; undefined if the endpoint does not state it. */
  readonly paceFactor?: number
}

/** Age from which a stated load is ignored, in milliseconds. */
const LOAD_LIFETIME_MS = 2000

/** Time for which an endpoint that reported being full gets no further work, in milliseconds; a slot is freed every few milliseconds. */
const FULL_BACKOFF_MS = 60

/** Silence after which an endpoint with requests in flight gets no more while others can take them, in milliseconds: three times the usual time to a first event. */
const SILENCE_LIMIT_MS = 900

/**
 * Time for which an endpoint that has come back is assumed to be cold although the list does not say so, in
 * milliseconds: lists lag by up to a second, and are read once a second.
 */
export const ASSUMED_COLD_MS = 3000

/** Weight of the newest sample in the mean latency. */
const LATENCY_SMOOTHING = 0.1

/** State of one incarnation of an endpoint. */
export class EndpointState {
  readonly health = new EndpointHealth()
  readonly rateLimit = new StatedRateLimit()
  readonly requestedPause = new RequestedPause()
  readonly brittleness = new Brittleness()
  /** What the endpoint states about the pace of its machine. */
  readonly paceStatements = new MachinePace()
  /** Streams of this host that run at the endpoint. */
  readonly runningStreams = new RunningStreams()
  /** Recent sends of this host to the endpoint. */
  readonly sends = new SendTimes()
  /** Failures of this host to reach the endpoint. */
  readonly contact = new ContactTimes()
  /** Contact over connections that had brought no response before. */
  readonly newConnections = new ContactTimes()
  #listed: ListedEndpoint
  #incarnation: string
  #isLeaving: boolean
  #silentSince = 0
  #lastByteAt = Number.NEGATIVE_INFINITY
  #busySince = 0
  #versions = new Map<string, number>()
  #inFlight = 0
  #pendingTokens = 0
  #heldTokens = 0
  #load: { stated: StatedLoad, at: number, inFlightWhenStated: number } | undefined
  #fullUntil = Number.NEGATIVE_INFINITY
  #busyUntil = Number.NEGATIVE_INFINITY
  #latencyMs: number | undefined
  #workMs: number | undefined
  #mayBeColdUntil = Number.NEGATIVE_INFINITY

  /**
   * @param listed - first list entry of this incarnation
   * @param slowness - how much slower the endpoint is than estimated
   */
  constructor (listed: ListedEndpoint, readonly slowness = new Slowness()) {
    this.#listed = listed
    this.#incarnation = incarnationName(listed)
    this.#isLeaving = listed.isLeaving
    this.#recordListedVersions(listed)
  }

  get id (): string { return this.#listed.id }
  /** Identifies this incarnation of the endpoint; every host that knows its start uses the same name. */
  get incarnation (): string { return this.#incarnation }
  get listed (): ListedEndpoint { return this.#listed }
  get isLeaving (): boolean { return this.#isLeaving }
  /** Requests of this host that are in flight at the endpoint. */
  get inFlight (): number { return this.#inFlight }
  /** Prompt tokens of this host's requests whose first event has not arrived yet. */
  get pendingTokens (): number { return this.#pendingTokens }
  /** Tokens that this host's requests occupy, or will occupy, in the endpoint's memory. */
  get heldTokens (): number { return this.#heldTokens }

  /**
   * @param now - monotonic milliseconds
   * @returns whether there is anything to report to other hosts; most endpoints have no work of this host most of the time
   */
  hasAnythingToReport (now: number): boolean {
    return this.#inFlight > 0 || this.health.hasOutcomes || this.health.isUnreachable(now)
  }

  /**
   * Returns this host's work at the endpoint and its observations of it, for the reports to other hosts.
   *
   * @param now - monotonic milliseconds
   */
  work (now: number): LoadFigures {
    const { outcomes, failures } = this.health.recentOutcomes(now)
    return {
      inFlight: this.#inFlight,
      pendingTokens: this.#pendingTokens,
      heldTokens: this.#heldTokens,
      lastByteAgoMs: this.lastByteAgoMs(now),
      waitedMs: this.waitedMs(now),
      unresponsive: 0,
      avoiders: this.health.isUnreachable(now) ? 1 : 0,
      outcomes,
      failures
    }
  }

  /**
   * @param now - monotonic milliseconds
   * @returns milliseconds since this host last received a byte from the endpoint
   */
  lastByteAgoMs (now: number): number {
    return Math.min(MAX_REPORTED_AGE_MS, now - this.#lastByteAt)
  }

  /**
   * @param now - monotonic milliseconds
   * @returns milliseconds for which this host has had requests in flight at the endpoint without a break
   */
  waitedMs (now: number): number {
    return this.#inFlight === 0 ? 0 : Math.min(MAX_REPORTED_AGE_MS, now - this.#busySince)
  }

  /**
   * @param now - monotonic milliseconds
   * @returns whether the endpoint accepts only few requests a second now, as far as is known
   */
  isCold (now: number): boolean {
    return this.#listed.isCold === true || now < this.#mayBeColdUntil
  }

  /**
   * Notes that the endpoint is out of use. It may be cold when it comes back, which nobody can know yet.
   *
   * @param now - monotonic milliseconds
   */
  markUnavailable (now: number): void {
    this.#mayBeColdUntil = now + ASSUMED_COLD_MS
  }

  /** Mean duration of a plain answer in milliseconds; undefined before the first one. */
  get latencyMs (): number | undefined { return this.#latencyMs }

  /** @param listed - newest list entry of this incarnation; an incarnation that is leaving stays so */
  update (listed: ListedEndpoint): void {
    this.#listed = { ...listed, startedAtMs: listed.startedAtMs ?? this.#listed.startedAtMs }
    this.#incarnation = incarnationName(this.#listed)
    this.#isLeaving ||= listed.isLeaving
    this.#recordListedVersions(listed)
  }

  /** Notes that the endpoint itself has announced that it is leaving. */
  markLeaving (): void {
    this.#isLeaving = true
  }

  /**
   * @param model - model name
   * @returns version of the weights that the endpoint is known to hold; undefined if it does not serve the model
   */
  version (model: string): number | undefined {
    return this.#versions.get(model)
  }

  /**
   * Records a version that the endpoint stated itself. It may be lower than the known
   * one, because an answer is newer than the list.
   *
   * @param model - model name
   * @param version - stated version
   */
  recordVersion (model: string, version: number): void {
    this.#versions.set(model, version)
  }

  /**
   * @param now - monotonic milliseconds
   * @returns whether the endpoint starts no new work now
   */
  isBusy (now: number): boolean {
    return this.#listed.isBusy || now < this.#busyUntil
  }

  /**
   * @param now - monotonic milliseconds
   * @returns whether the endpoint reported a moment ago that it was full
   */
  isFull (now: number): boolean {
    return now < this.#fullUntil
  }

  /**
   * Records a rejection.
   *
   * @param now - monotonic milliseconds
   * @param pauseMs - time for which the endpoint gets no further work while others can take it
   */
  observeRejection (now: number, pauseMs = FULL_BACKOFF_MS): void {
    this.#fullUntil = now + pauseMs
  }

  /**
   * Estimates the requests that run or wait at the endpoint from the load that it stated last and this host's sends since.
   *
   * @param now - monotonic milliseconds
   */
  occupancy (now: number): { readonly total: number, readonly waiting: number, readonly slots: number } {
    const slots = this.#load?.stated.slots ?? this.#listed.slots
    if (this.#load === undefined || now - this.#load.at > LOAD_LIFETIME_MS) {
      return { total: this.#inFlight, waiting: Math.max(0, this.#inFlight - slots), slots }
    }
    const { stated, inFlightWhenStated } = this.#load
    const total = Math.max(this.#inFlight, stated.running + stated.waiting + this.#inFlight - inFlightWhenStated)
    return { total, waiting: Math.max(0, Math.max(stated.waiting, total - slots)), slots }
  }

  /**
   * Records that a request is sent.
   *
   * @param pendingTokens - prompt tokens that the endpoint has to prefill before the first event
   * @param heldTokens - tokens that the request will occupy in the endpoint's memory
   * @param now - monotonic milliseconds
   */
  beginRequest (pendingTokens: number, heldTokens: number, now: number): void {
    if (this.#inFlight === 0) {
      this.#silentSince = now
      this.#busySince = now
    }
    this.#inFlight += 1
    this.sends.add(now)
    this.#pendingTokens += pendingTokens
    this.#heldTokens += heldTokens
  }

  /** @param now - monotonic milliseconds at which bytes of any answer arrived from the endpoint */
  observeBytes (now: number): void {
    this.#silentSince = now
    this.#lastByteAt = now
    this.contact.observeBytes(now)
  }

  /**
   * @param now - monotonic milliseconds
   * @returns milliseconds for which requests of this host have been in flight without a byte from the endpoint; 0 if there are none
   */
  unansweredMs (now: number): number {
    return this.#inFlight === 0 ? 0 : now - this.#silentSince
  }

  /**
   * Detects an endpoint that has gone without closing its connections: it accepts requests and answers none.
   *
   * @param now - monotonic milliseconds
   * @returns whether requests of this host are in flight at the endpoint and it has sent this host nothing for long
   */
  isSilent (now: number): boolean {
    return this.#inFlight > 0 && now - this.#silentSince > SILENCE_LIMIT_MS
  }

  /** @param pendingTokens - number of tokens that was passed to `beginRequest` */
  recordFirstEvent (pendingTokens: number): void {
    this.#pendingTokens -= pendingTokens
  }

  /**
   * Records that a request has ended in any way.
   *
   * @param heldTokens - number of tokens that was passed to `beginRequest`
   */
  endRequest (heldTokens: number): void {
    this.#inFlight -= 1
    this.#heldTokens -= heldTokens
  }

  /**
   * @param stated - load that an answer states
   * @param now - monotonic milliseconds
   */
  observeLoad (stated: StatedLoad, now: number): void {
    this.#load = { stated, at: now, inFlightWhenStated: this.#inFlight }
    if (stated.paceFactor !== undefined) this.paceStatements.observe(stated.paceFactor, now)
  }

  /**
   * @param now - monotonic milliseconds
   * @param others - newest statement that other hosts have reported
   * @returns the pace that the endpoint has stated last to any host; 1 if there is no recent statement
   */
  machinePace (now: number, others: PaceStatement | undefined): number {
    return this.paceStatements.newest(others, now)?.factor ?? USUAL_PACE
  }

  /** Mean duration of the work on a plain answer, without the wait at the endpoint, in milliseconds; undefined before the first one. */
  get workMs (): number | undefined { return this.#workMs }

  /** @param milliseconds - duration of one plain answer, whose head has been observed */
  observeLatency (milliseconds: number): void {
    const { waiting, slots } = this.#load?.stated ?? { waiting: 0, slots: 1 }
    const workMs = milliseconds / (1 + waiting / Math.max(1, slots))
    this.#workMs = this.#workMs === undefined ? workMs : this.#workMs + (workMs - this.#workMs) * LATENCY_SMOOTHING
    this.#latencyMs = this.#latencyMs === undefined
      ? milliseconds
      : this.#latencyMs + (milliseconds - this.#latencyMs) * LATENCY_SMOOTHING
  }

  #recordListedVersions (listed: ListedEndpoint): void {
    for (const { model, version } of listed.models) {
      // The list lags behind, and versions only rise during the life of an incarnation.
      this.#versions.set(model, Math.max(version, this.#versions.get(model) ?? 0))
    }
  }
}
