/**
 * Streams begin at endpoints with several software versions, and break off with their hosts, endpoints or connections.
 * Their callers take them up at other hosts, whose lists lag and which find out at the control hosts what began them.
 * Releases replace endpoints one after the other, or list all old ones as leaving at the moment at which the new ones join.
 * Hosts are killed alone and together, cut off and frozen; control hosts are restarted and replaced by empty ones.
 * Checks that no stream goes on at another version, and that those taken up at hosts in touch do go on.
 */
import { chooseOriginHolders } from '@eelgrassmux/routing/streams/chooseOriginHolders'
import { OriginRecords } from '@eelgrassmux/routing/streams/OriginRecords'
import { OriginSearch } from '@eelgrassmux/routing/streams/OriginSearch'
import { MAX_LIST_SKEW_MS, PossibleOrigins } from '@eelgrassmux/routing/streams/PossibleOrigins'
import { RecentStreams } from '@eelgrassmux/routing/streams/RecentStreams'
import type { OriginAnswer, StreamOrigin } from '@eelgrassmux/routing/streams/streamOrigin'
import { StreamOrigins } from '@eelgrassmux/routing/streams/StreamOrigins'
import type { CheckRecorder, PromiseName } from '../CheckRecorder.js'
import type { Simulation } from '../Simulation.js'
import type { World } from '../World.js'
import { SimulatedReleases, type SimulatedEndpoint } from './SimulatedReleases.js'

const HOST_COUNTS = [7, 61, 195]
const CONTROL_HOSTS = 5
const SERVICE = 'engines'
const ROUTE = 'chat'

/** The site, with a single route. */
const SITE = { routes: [{ name: ROUTE, isResumable: true, targets: [{ service: SERVICE, weight: 1 }] }] }

const MAX_EVENTS = 90_000
const DURATION_MS = 35_000

/** Time before the first stream, in milliseconds. */
const WARM_UP_MS = 12_000

/** Streams of all hosts per second. */
const STREAMS_PER_SECOND = 250

/** Longest stream, and time for which its caller may resume it, in milliseconds. */
const MAX_STREAM_MS = 4000
const KEEP_MS = 12_000

/** Share of streams whose connection breaks although nothing else fails. */
const BREAK_SHARE = 0.25

/** Delay before a host reports streams that have begun, in milliseconds. */
const BATCH_WINDOW_MS = 20

/** Longest time until a caller resumes a stream, and between its attempts, in milliseconds. */
const MAX_RETURN_MS = 150

/** Attempts of a caller to resume a stream. */
const RESUME_ATTEMPTS = 2

/** Interval at which control hosts read the list, and hosts look for a newer one, in milliseconds. */
const READ_INTERVAL_MS = 1000
const FOLLOW_INTERVAL_MS = 500

/** Longest time until a host knows of a new control host, in milliseconds. */
const MAX_MEMBERSHIP_LAG_MS = 3000

/** Interval at which a host looks for answers to its questions, in milliseconds. */
const SEARCH_STEP_MS = 10

/** Time without faults from which a host and the control hosts count as in touch, in milliseconds. */
const STABLE_MS = 3000

/** Share of runs whose first release begins late, so that hosts have seen a single version for longer than streams last, and the longest delay, in milliseconds. */
const LATE_RELEASE_SHARE = 0.5
const MAX_LATE_MS = 8000

/** Streams from which the share of those that go on is checked, and the least share. */
const MIN_JUDGED_STREAMS = 12
const MIN_RESUMED_SHARE = 0.5

/** Endpoints of the stream's version from which its resumption is owed. */
const MIN_ENDPOINTS_OF_VERSION = 2

/** The endpoint list as some host has it. */
interface KnownList {
  endpoints: readonly SimulatedEndpoint[]
  /** When the platform stated the list. */
  readAt: number
}

interface SimulatedControlHost extends KnownList {
  readonly address: string
  readonly records: OriginRecords
}

interface SimulatedHost extends KnownList {
  readonly name: string
  possible: PossibleOrigins
  origins: StreamOrigins
  recent: RecentStreams
  isReporting: boolean
  /** Processes of this host so far; messages to and timers of an earlier one are lost. */
  incarnation: number
  isAlive: boolean
  /** Until when the host reads neither its list nor its messages. */
  frozenUntil: number
  cutUntil: number
  lastFaultAt: number
  /** Control host whose list this host follows. */
  watched: string
  controlHosts: readonly string[]
}

interface SimulatedStream {
  readonly id: string
  readonly host: SimulatedHost
  readonly software: string
  isOver: boolean
}

/** Checks at which version streams go on. */
export class StreamVersionWorld implements World {
  readonly #hosts: SimulatedHost[]
  readonly #control = new Map<string, SimulatedControlHost>()
  readonly #streams = new Set<SimulatedStream>()
  readonly #releases: SimulatedReleases
  #outageUntil = 0
  #controlFaultAt = Number.NEGATIVE_INFINITY
  #created = 0
  #judged = 0
  #resumed = 0

  /**
   * @param simulation - the seeded schedule
   * @param recorder - counts the checks
   * @param broken - promise whose mechanism is disabled
   */
  constructor (private readonly simulation: Simulation, private readonly recorder: CheckRecorder, private readonly broken: PromiseName | undefined) {
    this.#releases = new SimulatedReleases(simulation, SERVICE, () => {
      this.#created += 1
      return this.#created
    })
    for (let index = 0; index < CONTROL_HOSTS; index += 1) this.#addControlHost()
    this.#hosts = Array.from({ length: simulation.pickFrom(HOST_COUNTS) }, (_, index) => ({
      name: `host-${index}`,
      origins: new StreamOrigins(),
      recent: new RecentStreams(),
      isReporting: false,
      incarnation: 0,
      isAlive: true,
      frozenUntil: 0,
      cutUntil: 0,
      lastFaultAt: Number.NEGATIVE_INFINITY,
      watched: '',
      controlHosts: [...this.#control.keys()],
      endpoints: [],
      readAt: Number.NEGATIVE_INFINITY,
      possible: new PossibleOrigins()
    }))
  }

  async run (): Promise<void> {
    this.simulation.schedule(WARM_UP_MS, () => { this.#streamLoop() })
    this.simulation.schedule(this.simulation.chance(LATE_RELEASE_SHARE) ? WARM_UP_MS + this.simulation.random() * MAX_LATE_MS : 0, () => { this.#releases.start() })
    this.#faultLoop()
    for (const control of this.#control.values()) this.#readLoop(control)
    for (const host of this.#hosts) this.#followLoop(host)
    await this.simulation.run({ events: MAX_EVENTS, until: DURATION_MS })
    if (this.#judged < MIN_JUDGED_STREAMS) return
    this.recorder.check('taken-up-streams-go-on', this.#resumed >= MIN_RESUMED_SHARE * this.#judged,
      () => `${this.#resumed} of ${this.#judged} streams went on that were taken up at hosts in touch`)
  }

  #newId (kind: string): string {
    this.#created += 1
    return `${kind}-${this.#created}`
  }

  #addControlHost (): SimulatedControlHost {
    const address = this.#newId('control')
    const control = { address, records: new OriginRecords(), endpoints: [], readAt: Number.NEGATIVE_INFINITY }
    this.#control.set(address, control)
    return control
  }

  // --- Lists ---

  /** A control host reads what the platform states, which lags behind. */
  #readLoop (control: SimulatedControlHost): void {
    this.simulation.schedule(control.endpoints.length === 0 ? this.simulation.random() * READ_INTERVAL_MS : READ_INTERVAL_MS, () => {
      if (this.#control.get(control.address) !== control) return
      this.#readLoop(control)
      const now = this.simulation.now()
      if (now < this.#outageUntil) return
      const stated = this.#releases.statedAt(now)
      if (stated === undefined) return
      control.endpoints = stated
      control.readAt = now
      control.records.observe(SITE, stated, now)
    })
  }

  /** A host follows the list of one control host, which may be any, and another one once that does not answer. */
  #followLoop (host: SimulatedHost): void {
    this.simulation.schedule(FOLLOW_INTERVAL_MS * (0.5 + this.simulation.random()), () => {
      this.#followLoop(host)
      const now = this.simulation.now()
      if (!this.#isRunning(host) || now < host.cutUntil) return
      const isStale = now - host.readAt > MAX_LIST_SKEW_MS
      if (!this.#control.has(host.watched) || isStale) host.watched = this.simulation.pickFrom([...this.#control.keys()])
      const control = this.#control.get(host.watched)
      if (control !== undefined && control.readAt > host.readAt) {
        host.endpoints = control.endpoints
        host.readAt = control.readAt
        host.possible.observe(SITE, control.endpoints, now)
      }
      this.#scheduleReport(host)
    })
  }

  #isRecent ({ readAt }: KnownList): boolean {
    return this.simulation.now() - readAt <= MAX_LIST_SKEW_MS
  }

  // --- Streams ---

  #streamLoop (): void {
    this.simulation.schedule(this.simulation.random() * 2 * 1000 / STREAMS_PER_SECOND, () => {
      this.#streamLoop()
      const host = this.simulation.pickFrom(this.#hosts)
      if (this.#isRunning(host)) this.#begin(host)
    })
  }

  #begin (host: SimulatedHost): void {
    const avoided = host.possible.newVersionsOf(SERVICE, this.simulation.now())
    const open = host.endpoints.filter(({ isLeaving }) => !isLeaving)
    const usual = open.filter(({ software }) => avoided?.has(software) !== true)
    const usable = usual.length > 0 ? usual : open
    if (usable.length === 0) return
    const stream: SimulatedStream = { id: this.#newId('stream'), host, software: this.simulation.pickFrom(usable).software, isOver: false }
    this.#streams.add(stream)
    this.#record(host, stream)
    const breaks = this.simulation.chance(BREAK_SHARE)
    this.simulation.schedule(this.simulation.random() * MAX_STREAM_MS, () => {
      if (breaks) this.#breakOff(stream)
      this.#end(stream)
    })
  }

  #record (host: SimulatedHost, { id, software }: SimulatedStream): void {
    const started = { id, origin: { service: SERVICE, software }, keepMs: KEEP_MS }
    host.origins.record(started, this.simulation.now())
    host.recent.add(ROUTE, started, this.simulation.now())
    host.possible.noteBegun(started.origin, this.simulation.now())
    if (host.possible.hasSeveral(ROUTE) && host.possible.newVersionsOf(SERVICE, this.simulation.now())?.has(software) === true) this.#report(host)
    else this.#scheduleReport(host)
  }

  #scheduleReport (host: SimulatedHost): void {
    if (host.isReporting || !host.possible.hasSeveral(ROUTE)) return
    host.isReporting = true
    const { incarnation } = host
    this.simulation.schedule(BATCH_WINDOW_MS, () => { if (host.incarnation === incarnation) this.#report(host) })
  }

  #report (host: SimulatedHost): void {
    host.isReporting = false
    const streams = host.recent.takeUnreported(route => host.possible.hasSeveral(route), this.simulation.now())
    if (this.broken === 'taken-up-streams-go-on' || streams.length === 0) return
    for (const address of chooseOriginHolders(host.name, host.controlHosts)) {
      this.simulation.send(host.name, address, () => {
        this.#control.get(address)?.records.record({ streams }, this.simulation.now())
      })
    }
  }

  #end (stream: SimulatedStream): void {
    stream.isOver = true
    this.#streams.delete(stream)
  }

  #breakOff (stream: SimulatedStream): void {
    if (stream.isOver) return
    this.#end(stream)
    this.#return(stream, RESUME_ATTEMPTS, this.#isOwed(stream))
  }

  /** The caller comes back through any running host. */
  #return (stream: SimulatedStream, attempts: number, isJudged: boolean): void {
    this.simulation.schedule(1 + this.simulation.random() * MAX_RETURN_MS, () => {
      const host = this.simulation.pickFrom(this.#hosts)
      if (!this.#isRunning(host)) return
      const isJudgedHere = isJudged && this.#isInTouch(host)
      this.#resume(host, stream, wentOn => {
        if (!wentOn && attempts > 1) return this.#return(stream, attempts - 1, isJudgedHere)
        if (!isJudgedHere) return
        this.#judged += 1
        if (wentOn) this.#resumed += 1
      })
    })
  }

  #resume (host: SimulatedHost, stream: SimulatedStream, done: (wentOn: boolean) => void): void {
    const now = this.simulation.now()
    const known = host.origins.find(stream.id, now)
    const view = { possible: host.possible.begunBy(ROUTE, now), isRecent: this.#isRecent(host), observedMs: host.possible.observedMs(now) }
    const goOn = (origin: StreamOrigin | undefined): void => { done(this.#goOn(host, stream, origin)) }
    if (known !== undefined) goOn(known)
    else this.#search(host, stream.id, new OriginSearch(view, KEEP_MS, host.controlHosts.length, now), goOn)
  }

  #search (host: SimulatedHost, id: string, search: OriginSearch, done: (origin: StreamOrigin | undefined) => void): void {
    const { incarnation } = host
    const step = search.next(this.simulation.now())
    if (step.kind === 'found') return done(step.origin)
    if (step.kind === 'unknown') return done(undefined)
    if (step.kind === 'ask') {
      for (const address of host.controlHosts) {
        this.simulation.send(host.name, address, () => {
          const answer = this.#answer(address, id)
          if (answer !== undefined) this.simulation.send(address, host.name, () => { search.observeAnswer(address, answer) })
        })
      }
    }
    this.simulation.schedule(SEARCH_STEP_MS, () => {
      if (host.incarnation === incarnation) this.#search(host, id, search, done)
    })
  }

  #answer (address: string, id: string): OriginAnswer | undefined {
    const control = this.#control.get(address)
    if (control === undefined) return undefined
    const now = this.simulation.now()
    return control.records.answer({ id, route: ROUTE }, { isRecent: this.#isRecent(control), followedMs: Number.POSITIVE_INFINITY }, now)
  }

  #goOn (host: SimulatedHost, stream: SimulatedStream, origin: StreamOrigin | undefined): boolean {
    const usable = this.broken === 'one-software-version' && origin === undefined
      ? host.endpoints
      : host.endpoints.filter(({ software }) => software === origin?.software)
    if (usable.length === 0) return false
    const { software } = this.simulation.pickFrom(usable)
    this.recorder.check('one-software-version', software === stream.software, () => `${stream.id} began at ${stream.software} and goes on at ${software} through ${host.name}`)
    return true
  }

  // --- Conditions ---

  #isRunning (host: SimulatedHost): boolean {
    return host.isAlive && this.simulation.now() >= host.frozenUntil
  }

  #isInTouch (host: SimulatedHost): boolean {
    const now = this.simulation.now()
    return now >= host.cutUntil + STABLE_MS && now >= Math.max(host.frozenUntil, host.lastFaultAt) + STABLE_MS && now >= this.#controlFaultAt + STABLE_MS
  }

  #isOwed ({ software }: SimulatedStream): boolean {
    return this.#releases.endpoints.filter(endpoint => endpoint.software === software && !endpoint.isLeaving).length >= MIN_ENDPOINTS_OF_VERSION
  }

  // --- Faults ---

  #faultLoop (): void {
    this.simulation.schedule(100 + this.simulation.random() * 700, () => {
      this.#faultLoop()
      const host = this.simulation.pickFrom(this.#hosts)
      if (this.simulation.drawFault('kill', 0.3)) this.#kill(host)
      if (this.simulation.drawFault('kill', 0.05)) for (const each of this.#hosts) if (this.simulation.chance(0.4)) this.#kill(each)
      if (this.simulation.drawFault('freeze', 0.2)) this.#freeze(host)
      if (this.simulation.drawFault('cut', 0.3)) this.#cut(host)
      if (this.simulation.drawFault('lost-disk', 0.02)) this.#restartControlHosts()
      if (this.simulation.drawFault('swap', 0.02)) this.#replaceControlHost()
      if (this.simulation.drawFault('disorder', 0.03)) this.#outageUntil = this.simulation.now() + this.simulation.random() * 8000
    })
  }

  #kill (host: SimulatedHost): void {
    if (!host.isAlive) return
    host.isAlive = false
    host.incarnation += 1
    host.lastFaultAt = this.simulation.now()
    host.origins = new StreamOrigins()
    host.recent = new RecentStreams()
    host.isReporting = false
    for (const stream of [...this.#streams]) if (stream.host === host) this.#breakOff(stream)
    this.simulation.schedule(200 + this.simulation.random() * 1500, () => {
      host.isAlive = true
      host.endpoints = []
      host.readAt = Number.NEGATIVE_INFINITY
      host.possible = new PossibleOrigins()
      host.controlHosts = [...this.#control.keys()]
    })
  }

  #freeze (host: SimulatedHost): void {
    host.frozenUntil = this.simulation.now() + this.simulation.random() * 2500
  }

  #cut (host: SimulatedHost): void {
    const milliseconds = this.simulation.random() * 6000
    const direction = this.simulation.pick(3)
    host.cutUntil = Math.max(host.cutUntil, this.simulation.now() + milliseconds)
    for (const address of this.#control.keys()) {
      if (direction !== 0) this.simulation.cutLink(host.name, address, milliseconds)
      if (direction !== 1) this.simulation.cutLink(address, host.name, milliseconds)
    }
  }

  /** Restarts up to two control hosts, which keep nothing. */
  #restartControlHosts (): void {
    this.#controlFaultAt = this.simulation.now()
    for (let restarts = this.simulation.pick(2); restarts >= 0; restarts -= 1) {
      const { address } = this.simulation.pickFrom([...this.#control.values()])
      const restarted = { address, records: new OriginRecords(), endpoints: [], readAt: Number.NEGATIVE_INFINITY }
      this.#control.set(address, restarted)
      this.#readLoop(restarted)
    }
  }

  /** Replaces a control host by an empty one at another address, which hosts find out at different times. */
  #replaceControlHost (): void {
    this.#controlFaultAt = this.simulation.now()
    this.#control.delete(this.simulation.pickFrom([...this.#control.keys()]))
    this.#readLoop(this.#addControlHost())
    const controlHosts = [...this.#control.keys()]
    for (const host of this.#hosts) {
      this.simulation.schedule(this.simulation.random() * MAX_MEMBERSHIP_LAG_MS, () => {
        if (this.#isRunning(host) && this.simulation.now() >= host.cutUntil) host.controlHosts = controlHosts
      })
    }
  }
}
