/** Finds ports for tests that start hosts. */
import { createSocket } from 'node:dgram'
import { createServer } from 'node:net'

/**
 * Ports of hosts under test lie below the ephemeral range, which starts at 32768. The system
 * may assign a port of that range to another connection or datagram socket between the check
 * that it is free and the moment when a host binds it, or binds it again after a restart.
 */
const FIRST_PORT = 20_000
const PORT_COUNT = 12_000

/** Starts at a random port, since other test runs on the same machine also search for ports. */
let nextPort = Math.floor(Math.random() * PORT_COUNT)

/**
 * Finds a port that is free for both TCP and UDP, since hosts serve gRPC calls and datagrams on the same port.
 *
 * @returns a loopback port that was free at the time of the check
 */
export async function freePort (): Promise<number> {
  for (;;) {
    nextPort = (nextPort + 1) % PORT_COUNT
    const port = FIRST_PORT + nextPort
    if (await isFreeForCalls(port) && await isFreeForDatagrams(port)) return port
  }
}

async function isFreeForCalls (port: number): Promise<boolean> {
  const server = createServer()
  return await new Promise(resolve => {
    server.once('error', () => { resolve(false) })
    server.listen(port, '127.0.0.1', () => { server.close(() => { resolve(true) }) })
  })
}

async function isFreeForDatagrams (port: number): Promise<boolean> {
  const socket = createSocket('udp4')
  return await new Promise(resolve => {
    socket.once('error', () => { socket.close(() => { resolve(false) }) })
    socket.bind(port, '127.0.0.1', () => { socket.close(() => { resolve(true) }) })
  })
}
