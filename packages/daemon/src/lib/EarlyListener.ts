/**
 * Listens on a port before the rest of the program is loaded.
 *
 * Loading takes some tenths of a second after a restart. During this time a new connection would
 * be reset, and callers make few attempts; with an early listener the connection waits. This file
 * imports only modules of Node.js, so that it loads quickly.
 */
import { createServer, type Server, type Socket } from 'node:net'
import type { Server as HttpServer } from 'node:http'

/** An open port whose connections are not served yet. */
export class EarlyListener {
  readonly #pendingSockets: Socket[] = []
  #isTransferred = false

  private constructor (readonly host: string, readonly port: number, private readonly server: Server, private readonly backlog: number) {
    // Errors of accepting pass; the server that takes the port over logs them.
    server.on('error', () => {})
    server.on('connection', socket => { this.#pendingSockets.push(socket) })
  }

  /**
   * Opens a port.
   *
   * @param host - IP address
   * @param port - port, 0 for any free port
   * @param backlog - maximum number of connections that wait to be accepted
   * @returns the listener
   */
  static async open (host: string, port: number, backlog: number): Promise<EarlyListener> {
    const server = createServer({ pauseOnConnect: true, noDelay: true })
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen({ host, port, backlog }, resolve)
    })
    const address = server.address()
    const openPort = address !== null && typeof address === 'object' ? address.port : port
    return new EarlyListener(host, openPort, server, backlog)
  }

  /**
   * @param host - IP address
   * @param port - port
   * @returns whether this listener was opened for the address
   */
  isListeningOn (host: string, port: number): boolean {
    return host === this.host && port === this.port
  }

  /**
   * Transfers the port and all waiting connections to another server.
   *
   * @param server - server that is not listening yet
   */
  async transferTo (server: HttpServer): Promise<void> {
    this.#isTransferred = true
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      // The other server takes over the handle and listens on it again, which sets the backlog anew.
      server.listen(this.server, this.backlog, resolve)
    })
    for (const socket of this.#pendingSockets.splice(0)) {
      if (socket.destroyed) continue
      server.emit('connection', socket)
      socket.resume()
    }
  }

  /** Closes the port and its connections, unless they were transferred to another server. */
  close (): void {
    if (this.#isTransferred) return
    for (const socket of this.#pendingSockets.splice(0)) socket.destroy()
    this.server.close()
  }
}
