import { createSocket, type Socket } from 'node:dgram'

/** @returns a socket that is told IP numbers only, so that nothing is looked up for each datagram */
export function openDatagramSocket (): Socket {
  return createSocket({ type: 'udp4', lookup: (host, _options, callback) => { callback(null, host, 4) } })
}

/**
 * @param socket - a socket
 * @param host - IP number
 * @param port - port, 0 for a free one
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
