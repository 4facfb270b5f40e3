/** What one entry host knows of one endpoint. */
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import { MAX_REPORTED_AGE_MS, type LoadFigures } from '../load/loadReport.js'
import { EndpointHealth } from './EndpointHealth.js'
import { incarnationName } from './incarnationName.js'
import { RequestedPause } from './RequestedPause.js'
import { SendTimes } from './SendTimes.js'
import { Slowness } from './Slowness.js'
import { StatedRateLimit } from './StatedRateLimit.js'

/** Load as an endpoint states it in its answers. */
export interface StatedLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
}

/** Age after which a stated load says nothing any more, in milliseconds. */
const LOAD_LIFETIME_MS = 2000

/** Time for which an endpoint that said it was full gets no further work, in milliseconds; a place frees every few. */
const FULL_MS = 60

/** Silence after which an endpoint with work gets no more if others can take it, in milliseconds: three times what a first event usually takes. */
const SILENT_MS = 900

/**
 * Time for which an endpoint that is back may be cold without the list saying so, in milliseconds: lists lag by up
 * to a second, and are read once a second.
 */
export const ASSUMED_COLD_MS = 3000

/** Weight of the newest sample in the mean latency. */
const LATENCY_SMOOTHING = 0.1

/** One incarnation of an endpoint. */
export class EndpointState {
  readonly health = new EndpointHealth()
  readonly rateLimit = new StatedRateLimit()
  readonly requestedPause = new RequestedPause()
  /** Requests that this host has sent there of late. */
  readonly sends = new SendTimes()
  #listed: ListedEndpoint
  #incarnation: string
  #isLeaving: boolean
  #silentSince = 0
  #bytesAt = Number.NEGATIVE_INFINITY
  #busySince = 0
  #versions = new Map<string, number>()
  #inFlight = 0
  #pendingTokens = 0
  #heldTokens = 0
  #load: { stated: StatedLoad, at: number, inFlightThen: number } | undefined
  #fullUntil = Number.NEGATIVE_INFINITY
  #busyUntil = Number.NEGATIVE_INFINITY
  #latencyMs: number | undefined
  #mayBeColdUntil = Number.NEGATIVE_INFINITY

  /**
   * @param listed - as first listed
   * @param slowness - how much slower it is than estimated
   */
  constructor (listed: ListedEndpoint, readonly slowness = new Slowness()) {
    this.#listed = listed
    this.#incarnation = incarnationName(listed)
    this.#isLeaving = listed.isLeaving
    this.#learnVersions(listed)
  }

  get id (): string { return this.#listed.id }
  /** Names this incarnation among all of the endpoint, alike on every host that knows its start. */
  get incarnation (): string { return this.#incarnation }
  get listed (): ListedEndpoint { return this.#listed }
  get isLeaving (): boolean { return this.#isLeaving }
  /** Requests of this host that are under way there. */
  get inFlight (): number { return this.#inFlight }
  /** Prompt tokens of this host's requests that have not brought their first event yet. */
  get pendingTokens (): number { return this.#pendingTokens }
  /** Tokens that this host's requests hold, or will hold, in its memory. */
  get heldTokens (): number { return this.#heldTokens }

  /**
   * @param now - monotonic milliseconds
   * @returns whether there is anything to tell of it: most endpoints have nothing of this host most of the time
   */
  hasAnythingToReport (now: number): boolean {
    return this.#inFlight > 0 || this.health.hasOutcomes || this.health.isUnreachable(now)
  }

  /**
   * This host's work there, and what it has seen of the endpoint.
   *
   * @param now - monotonic milliseconds
   */
  work (now: number): LoadFigures {
    const { outcomes, failures } = this.health.recent(now)
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
   * @returns milliseconds since any byte came from it to this host
   */
  lastByteAgoMs (now: number): number {
    return Math.min(MAX_REPORTED_AGE_MS, now - this.#bytesAt)
  }

  /**
   * @param now - monotonic milliseconds
   * @returns milliseconds for which it has had work of this host without a break
   */
  waitedMs (now: number): number {
    return this.#inFlight === 0 ? 0 : Math.min(MAX_REPORTED_AGE_MS, now - this.#busySince)
  }

  /**
   * @param now - monotonic milliseconds
   * @returns whether it takes few requests a second now, as far as is known
   */
  isCold (now: number): boolean {
    return this.#listed.isCold === true || now < this.#mayBeColdUntil
  }

  /**
   * Notes that it is out of use: nobody can tell yet whether it will come back cold.
   *
   * @param now - monotonic milliseconds
   */
  markUnavailable (now: number): void {
    this.#mayBeColdUntil = now + ASSUMED_COLD_MS
  }

  /** Mean time of a plain answer, once there was one, in milliseconds. */
  get latencyMs (): number | undefined { return this.#latencyMs }

  /** @param listed - the same incarnation as listed now; one that leaves never comes back */
  update (listed: ListedEndpoint): void {
    this.#listed = { ...listed, startedAtMs: listed.startedAtMs ?? this.#listed.startedAtMs }
    this.#incarnation = incarnationName(this.#listed)
    this.#isLeaving ||= listed.isLeaving
    this.#learnVersions(listed)
  }

  /** Notes that the endpoint itself says that it is leaving. */
  markLeaving (): void {
    this.#isLeaving = true
  }

  /**
   * @param model - model name
   * @returns version of the weights that it is known to hold; undefined if it does not serve the model
   */
  version (model: string): number | undefined {
    return this.#versions.get(model)
  }

  /**
   * Notes a version that the endpoint stated itself. It may be lower than the one
   * believed: an answer is newer than the list.
   *
   * @param model - model name
   * @param version - as stated
   */
  recordVersion (model: string, version: number): void {
    this.#versions.set(model, version)
  }

  /**
   * @param now - monotonic milliseconds
   * @returns whether it starts no new work now
   */
  isBusy (now: number): boolean {
    return this.#listed.isBusy || now < this.#busyUntil
  }

  /**
   * @param now - monotonic milliseconds
   * @returns whether it said a moment ago that it was full
   */
  isFull (now: number): boolean {
    return now < this.#fullUntil
  }

  /**
   * Notes a rejection.
   *
   * @param now - monotonic milliseconds
   * @param pauseMs - time for which it gets no further work if others can take it
   */
  observeRejection (now: number, pauseMs = FULL_MS): void {
    this.#fullUntil = now + pauseMs
  }

  /**
   * Requests that it works on or has waiting, by its last word and this host's sends since.
   *
   * @param now - monotonic milliseconds
   */
  occupancy (now: number): { readonly total: number, readonly waiting: number, readonly slots: number } {
    const slots = this.#load?.stated.slots ?? this.#listed.slots
    if (this.#load === undefined || now - this.#load.at > LOAD_LIFETIME_MS) {
      return { total: this.#inFlight, waiting: Math.max(0, this.#inFlight - slots), slots }
    }
    const { stated, inFlightThen } = this.#load
    const total = Math.max(this.#inFlight, stated.running + stated.waiting + this.#inFlight - inFlightThen)
    return { total, waiting: Math.max(0, Math.max(stated.waiting, total - slots)), slots }
  }

  /**
   * @param pendingTokens - prompt tokens that it has to read before its first event
   * @param heldTokens - tokens that the request will hold in its memory
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

  /** @param now - monotonic milliseconds at which bytes of any answer came from it */
  observeBytes (now: number): void {
    this.#silentSince = now
    this.#bytesAt = now
  }

  /**
   * An endpoint that is gone without a word takes connections and answers nothing.
   *
   * @param now - monotonic milliseconds
   * @returns whether it has work of this host and has sent nothing to it for long
   */
  isSilent (now: number): boolean {
    return this.#inFlight > 0 && now - this.#silentSince > SILENT_MS
  }

  /** @param pendingTokens - as given at the beginning */
  recordFirstEvent (pendingTokens: number): void {
    this.#pendingTokens -= pendingTokens
  }

  /**
   * Notes the end of a request, however it ended.
   *
   * @param heldTokens - as given at the beginning
   */
  endRequest (heldTokens: number): void {
    this.#inFlight -= 1
    this.#heldTokens -= heldTokens
  }

  /**
   * @param stated - load in an answer
   * @param now - monotonic milliseconds
   */
  observeLoad (stated: StatedLoad, now: number): void {
    this.#load = { stated, at: now, inFlightThen: this.#inFlight }
  }

  /** @param milliseconds - time of one plain answer */
  observeLatency (milliseconds: number): void {
    this.#latencyMs = this.#latencyMs === undefined
      ? milliseconds
      : this.#latencyMs + (milliseconds - this.#latencyMs) * LATENCY_SMOOTHING
  }

  #learnVersions (listed: ListedEndpoint): void {
    for (const { model, version } of listed.models) {
      // The list lags; versions only rise while an incarnation lives.
      this.#versions.set(model, Math.max(version, this.#versions.get(model) ?? 0))
    }
  }
}
