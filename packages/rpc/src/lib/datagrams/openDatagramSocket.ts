import { createSocket, type Socket } from 'node:dgram'

/** @returns a socket that is only given IP addresses and does no name lookup when it sends a datagram */
export function openDatagramSocket (): Socket {
  return createSocket({ type: 'udp4', lookup: (host, _options, callback) => { callback(null, host, 4) } })
}

/**
 * Binds a socket; rejects if the address can't be bound.
 *
 * @param socket - an unbound socket
 * @param host - IP address
 * @param port - port, 0 for any free port
 */
export async function bindSocket (socket: Socket, host: string, port: number): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    socket.once('error', reject)
    socket.bind(port, host, () => {
      socket.off('error', reject)
      resolve()
    })
  })
}
