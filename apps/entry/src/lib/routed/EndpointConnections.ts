/** Pool of this host's connections to one endpoint. Connections are reused, because accepting new ones costs the endpoint time. */
import { EndpointConnection } from './EndpointConnection.js'
import type { ReadSlices } from './ReadSlices.js'

/** Keeps idle connections. The most recently used one is reused first, so that surplus ones reach their idle timeout. */
export class EndpointConnections {
  readonly #idle: EndpointConnection[] = []
  readonly #open = new Set<EndpointConnection>()
  /** Since when connections that have carried nothing are doubted, in monotonic milliseconds. */
  #silentSince = Number.NEGATIVE_INFINITY

  /**
   * @param address - IP address and port
   * @param onOpen - called for each new connection
   * @param onEstablished - called for each connection that is established, with the milliseconds that it took
   * @param slices - divides the time of the event loop among endpoints; absent if responses never pause for others
   */
  constructor (
    readonly address: string, private readonly onOpen: () => void, private readonly onEstablished: (milliseconds: number) => void = () => {}, private readonly slices?: ReadSlices
  ) {}

  /** Number of open connections, including idle ones. */
  get count (): number { return this.#open.size }

  /** Number of open connections that carry a request. */
  get inUse (): number { return this.#open.size - this.#idle.length }

  /** Whether a request can be sent without opening a connection. */
  get hasIdle (): boolean { return this.#idle.some(connection => connection.isUsable) }

  /**
   * Takes an idle connection that may carry the request, or opens a new one.
   *
   * @param maximum - most connections that this host may have open
   * @param requestId - id of the request; empty if it has none
   * @param usedSince - monotonic milliseconds since which an idle connection must have been used
   * @returns the connection, or undefined if all are in use
   */
  acquire (maximum: number, requestId = '', usedSince = Number.NEGATIVE_INFINITY): EndpointConnection | undefined {
    const at = this.#idle.findLastIndex(connection => connection.isUsable && connection.idleSince >= usedSince && connection.attribution.mayCarry(requestId))
    const [idle] = at < 0 ? [] : this.#idle.splice(at, 1)
    if (idle !== undefined) return idle
    if (this.#open.size >= maximum) this.#idle.at(0)?.close()
    return this.#open.size >= maximum ? undefined : this.open()
  }

  /** @returns a new connection */
  open (): EndpointConnection {
    const connection = new EndpointConnection(this.address, closed => { this.#forget(closed) }, this.onEstablished, this.slices)
    this.#open.add(connection)
    this.onOpen()
    return connection
  }

  /**
   * Returns a connection to the pool after a complete response. It becomes available
   * in the next turn, so that surplus bytes after the response are noticed and close it first.
   *
   * @param connection - connection from {@link EndpointConnections.acquire}
   */
  release (connection: EndpointConnection): void {
    connection.idleSince = performance.now()
    setImmediate(() => {
      if (connection.attribution.isFull) connection.close()
      else if (connection.isUsable) this.#idle.push(connection)
    })
  }

  /** Closes all idle connections. */
  closeIdle (): void {
    for (const connection of this.#idle.splice(0)) connection.close()
  }

  /**
   * Closes idle connections that have carried nothing since the given time.
   *
   * @param silentSince - monotonic milliseconds
   * @returns number of connections that were closed
   */
  closeIdleSince (silentSince: number): number {
    const unused = this.#idle.filter(({ idleSince }) => idleSince < silentSince)
    for (const connection of unused) connection.close()
    return unused.length
  }

  /** @param silentSince - monotonic milliseconds; connections in use that carry nothing after that are doubted */
  doubt (silentSince: number): void {
    this.#silentSince = silentSince
  }

  /** @returns whether the connection, which is in use, is doubted */
  isDoubted (connection: EndpointConnection): boolean {
    return connection.isSilentSince(this.#silentSince)
  }

  #forget (connection: EndpointConnection): void {
    this.#open.delete(connection)
    const at = this.#idle.indexOf(connection)
    if (at >= 0) this.#idle.splice(at, 1)
  }
}
