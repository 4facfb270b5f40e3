/** Connections of this host to one endpoint: reused where possible, because new ones cost the endpoint time. */
import { EndpointConnection } from './EndpointConnection.js'

/** Keeps idle connections; the last one used is used first, so that surplus ones close by themselves. */
export class EndpointConnections {
  readonly #idle: EndpointConnection[] = []
  readonly #open = new Set<EndpointConnection>()

  /**
   * @param address - IP number and port
   * @param onOpen - called for each new connection
   */
  constructor (readonly address: string, private readonly onOpen: () => void) {}

  /** Connections that are open, idle ones included. */
  get count (): number { return this.#open.size }

  /** Whether a request can be sent without a new connection. */
  get hasIdle (): boolean { return this.#idle.some(connection => connection.isUsable) }

  /**
   * Takes an idle connection or makes a new one.
   *
   * @param maximum - connections that this host may have
   * @returns the connection, or undefined if all are in use
   */
  acquire (maximum: number): EndpointConnection | undefined {
    for (let idle = this.#idle.pop(); idle !== undefined; idle = this.#idle.pop()) {
      if (idle.isUsable) return idle
    }
    if (this.#open.size >= maximum) return undefined
    const connection = new EndpointConnection(this.address, closed => { this.#forget(closed) })
    this.#open.add(connection)
    this.onOpen()
    return connection
  }

  /**
   * Gives a connection back after a whole answer. It becomes usable a moment
   * later, so that bytes behind the answer are noticed and close it first.
   *
   * @param connection - taken by {@link EndpointConnections.acquire}
   */
  release (connection: EndpointConnection): void {
    setImmediate(() => {
      if (connection.isUsable) this.#idle.push(connection)
    })
  }

  /** Closes all idle connections; those in use close when their answer is whole. */
  closeIdle (): void {
    for (const connection of this.#idle.splice(0)) connection.close()
  }

  #forget (connection: EndpointConnection): void {
    this.#open.delete(connection)
    const at = this.#idle.indexOf(connection)
    if (at >= 0) this.#idle.splice(at, 1)
  }
}
