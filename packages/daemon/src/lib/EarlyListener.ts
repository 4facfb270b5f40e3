/**
 * Listens before the rest of a program is loaded.
 *
 * Loading takes some tenths of a second after a restart. A caller that connects
 * meanwhile would be reset, and callers have few attempts; with this its
 * connection waits. Nothing but Node's own modules is needed here.
 */
import { createServer, type Server, type Socket } from 'node:net'
import type { Server as HttpServer } from 'node:http'

/** A port that is open and not served yet. */
export class EarlyListener {
  readonly #held: Socket[] = []
  #isHandedOver = false

  private constructor (readonly host: string, readonly port: number, private readonly server: Server) {
    server.on('connection', socket => { this.#held.push(socket) })
  }

  /**
   * @param host - IP number
   * @param port - port
   * @param backlog - connections that wait to be accepted
   * @returns the open port
   */
  static async open (host: string, port: number, backlog: number): Promise<EarlyListener> {
    const server = createServer({ pauseOnConnect: true, noDelay: true })
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen({ host, port, backlog }, resolve)
    })
    const address = server.address()
    const openPort = address !== null && typeof address === 'object' ? address.port : port
    return new EarlyListener(host, openPort, server)
  }

  /**
   * @param host - IP number
   * @param port - port
   * @returns whether this is the port that is to be served
   */
  isListeningOn (host: string, port: number): boolean {
    return host === this.host && port === this.port
  }

  /**
   * Lets another server serve the port, with all connections that wait.
   *
   * @param server - not listening yet
   */
  async transferTo (server: HttpServer): Promise<void> {
    this.#isHandedOver = true
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      // The other server now owns the handle, and accepts from the same queue.
      server.listen(this.server, resolve)
    })
    for (const socket of this.#held.splice(0)) {
      if (socket.destroyed) continue
      server.emit('connection', socket)
      socket.resume()
    }
  }

  /** Closes the port if nobody serves it. */
  close (): void {
    if (this.#isHandedOver) return
    for (const socket of this.#held.splice(0)) socket.destroy()
    this.server.close()
  }
}
