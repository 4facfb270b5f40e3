/** A cut between one host and the endpoints, for tests. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { vi } from 'vitest'
import { EndpointConnections } from '../EndpointConnections.js'
import type { RoutedFleet } from '../RoutedFleet.js'

/** What becomes of connections across the cut. */
export type CutKind =
  /** New connections are refused. */
  | 'refuses'
  /** New connections are reset as soon as they are established. */
  | 'resets'
  /** New connections are refused; those that are open go on working. */
  | 'refuses-new'
  /** New connections are established, and reset once something is sent; those that are open go on working. */
  | 'resets-new'
  /** New connections are established, and nothing that is sent on them is answered. */
  | 'hangs'

/** Replaces the connections of one host to all endpoints until it is healed. Connections that are open stay so. */
export class LinkCut {
  readonly #sockets: Socket[] = []
  readonly #server: Server = createServer(socket => {
    socket.on('error', () => {})
    this.#sockets.push(socket)
    if (this.kind === 'resets') socket.resetAndDestroy()
    if (this.kind === 'resets-new') socket.once('data', () => { socket.resetAndDestroy() })
  })

  #address = ''
  #isHealed = false

  private constructor (private readonly kind: CutKind) {}

  /**
   * @param fleet - endpoints as the host knows them
   * @param kind - what becomes of connections
   * @returns the cut, which is in force
   */
  static async between (fleet: RoutedFleet, kind: CutKind): Promise<LinkCut> {
    const cut = new LinkCut(kind)
    await new Promise<void>(resolve => { cut.#server.listen(0, '127.0.0.1', resolve) })
    cut.#address = `127.0.0.1:${(cut.#server.address() as AddressInfo).port}`
    if (kind === 'refuses' || kind === 'refuses-new') cut.#server.close()
    const original = fleet.connectionsTo.bind(fleet)
    const replaced = new Map<string, EndpointConnections>()
    vi.spyOn(fleet, 'connectionsTo').mockImplementation(endpoint => {
      if (cut.#isHealed) return original(endpoint)
      if ((kind === 'refuses-new' || kind === 'resets-new') && original(endpoint).hasIdle) return original(endpoint)
      const present = replaced.get(endpoint.id) ?? new EndpointConnections(cut.#address, () => {})
      replaced.set(endpoint.id, present)
      return present
    })
    return cut
  }

  /** Brings the links back. */
  heal (): void {
    this.#isHealed = true
    for (const socket of this.#sockets) socket.destroy()
    if (this.#server.listening) this.#server.close()
  }
}
