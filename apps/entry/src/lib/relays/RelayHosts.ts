/**
 * Other entry hosts, as relays for requests to services that are partitioned from this host.
 *
 * The leading control host names them and gives this host a ticket, with which the others recognise it. It is asked
 * again while relays are in use, so that hosts that are partitioned as well are left out.
 */
import { chooseRelayHost } from '@eelgrassmux/routing/reachability/chooseRelayHost'
import { EndpointConnections } from '../routed/EndpointConnections.js'
import type { EndpointConnection } from '../routed/EndpointConnection.js'
import type { ReadSlices } from '../routed/ReadSlices.js'

/** Age from which the hosts are asked for again when they are used, in milliseconds. */
const REFRESH_AGE_MS = 500

/** Age up to which the hosts may be used, in milliseconds; longer than an election of control hosts takes. */
const MAX_AGE_MS = 10_000

/** Delay before a question that was not answered is repeated, in milliseconds. */
const RETRY_DELAY_MS = 100

/** Time for which a host that refused a request or could not be reached is asked last, in milliseconds. */
const AVOIDANCE_MS = 1000

/** Most connections to one other host. */
const MAX_CONNECTIONS = 64

/** What the leading control host answers. */
export interface OpenedRelays {
  readonly ticket: string
  readonly hosts: readonly string[]
}

/** Asks the leading control host. */
export interface RelayDirectory {
  /** @returns the ticket and hosts, or undefined if there is no answer */
  open (): Promise<OpenedRelays | undefined>
  /** @returns the host that holds a ticket; empty if nobody does, undefined if there is no answer */
  holderOf (ticket: string): Promise<string | undefined>
}

/** A connection to another host for one request. */
export interface RelayConnection {
  readonly host: string
  readonly ticket: string
  readonly connection: EndpointConnection
  /** Returns the connection after a complete response. */
  release (): void
}

/** Keeps the hosts, and connections to them. */
export class RelayHosts {
  #opened: OpenedRelays = { ticket: '', hosts: [] }
  #openedAt = Number.NEGATIVE_INFINITY
  #isAsking = false
  #nextQuestionAt = Number.NEGATIVE_INFINITY
  #waiting: Array<() => void> = []
  readonly #avoidedUntil = new Map<string, number>()
  readonly #connections = new Map<string, EndpointConnections>()

  /**
   * @param directory - asks the leading control host
   * @param slices - divides the time of the event loop among the hosts whose responses are read
   */
  constructor (private readonly directory: RelayDirectory, private readonly slices?: ReadSlices) {}

  /**
   * Calls back once hosts are known, or the question for them has failed.
   *
   * @param ready - called at once if they are known
   */
  prepare (ready: () => void): void {
    const age = performance.now() - this.#openedAt
    if (age > REFRESH_AGE_MS) this.#ask()
    if (age <= MAX_AGE_MS || !this.#isAsking) ready()
    else this.#waiting.push(ready)
  }

  /**
   * @param tried - hosts that were asked for this request
   * @param now - monotonic milliseconds
   * @returns a connection to another host, or undefined if there is none
   */
  acquire (tried: ReadonlySet<string>, now: number): RelayConnection | undefined {
    if (now - this.#openedAt > MAX_AGE_MS) return undefined
    const { ticket } = this.#opened
    const untried = this.#opened.hosts.filter(host => !tried.has(host))
    const host = chooseRelayHost(untried.map(candidate => ({
      host: candidate,
      pending: this.#connections.get(candidate)?.inUse ?? 0,
      isAvoided: now < (this.#avoidedUntil.get(candidate) ?? Number.NEGATIVE_INFINITY)
    })), Math.random())
    if (host === undefined) return undefined
    const connections = this.#connectionsTo(host)
    const connection = connections.acquire(MAX_CONNECTIONS)
    return connection === undefined ? undefined : { host, ticket, connection, release: () => { connections.release(connection) } }
  }

  /**
   * @param host - host that refused a request or could not be reached
   * @param now - monotonic milliseconds
   */
  avoid (host: string, now: number): void {
    this.#avoidedUntil.set(host, now + AVOIDANCE_MS)
  }

  /** Closes all idle connections. */
  close (): void {
    for (const connections of this.#connections.values()) connections.closeIdle()
  }

  #ask (): void {
    const now = performance.now()
    if (this.#isAsking || now < this.#nextQuestionAt) return
    this.#isAsking = true
    this.#nextQuestionAt = now + RETRY_DELAY_MS
    void this.directory.open().then(opened => {
      this.#isAsking = false
      if (opened !== undefined) {
        this.#opened = opened
        this.#openedAt = performance.now()
        this.#forgetOthers(new Set(opened.hosts))
      }
      for (const ready of this.#waiting.splice(0)) ready()
    })
  }

  #forgetOthers (named: ReadonlySet<string>): void {
    for (const [host, connections] of this.#connections) {
      if (named.has(host)) continue
      connections.closeIdle()
      this.#connections.delete(host)
      this.#avoidedUntil.delete(host)
    }
  }

  #connectionsTo (host: string): EndpointConnections {
    const present = this.#connections.get(host)
    if (present !== undefined) return present
    const connections = new EndpointConnections(host, () => {}, undefined, this.slices)
    this.#connections.set(host, connections)
    return connections
  }
}
