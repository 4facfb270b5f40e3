/** Opens a port for calls and for datagrams. */

/** A server that can give up a port again. */
export interface PortListener {
  /**
   * @param host - IP address
   * @param port - port, 0 for any free port
   * @returns the open port
   */
  listen (host: string, port: number): Promise<number>
  /**
   * @param host - IP address
   * @param port - open port
   */
  stopListening (host: string, port: number): void
}

/** A server that receives datagrams on one port. */
export interface DatagramListener {
  /**
   * @param host - IP address
   * @param port - port
   * @throws if the port can't be bound
   */
  listen (host: string, port: number): Promise<void>
}

/** Attempts to find a port that is free for both: the system chooses a port without regard to datagram sockets. */
const MAX_ATTEMPTS = 10

/**
 * Listens for calls and datagrams on ports with the same number, since other hosts know one address only.
 *
 * @param server - server of calls
 * @param datagrams - server of datagrams
 * @param host - IP address
 * @param port - port, 0 for any port that is free for both
 * @returns the open port
 * @throws if the port can't be bound; nothing is open then, and the call may be repeated
 */
export async function listenOnSamePort (server: PortListener, datagrams: DatagramListener, host: string, port: number): Promise<number> {
  for (let attempt = 1; ; attempt += 1) {
    const openPort = await server.listen(host, port)
    try {
      await datagrams.listen(host, openPort)
      return openPort
    } catch (error) {
      server.stopListening(host, openPort)
      if (port !== 0 || attempt === MAX_ATTEMPTS || !isPortTaken(error)) throw error
    }
  }
}

function isPortTaken (error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === 'EADDRINUSE'
}
