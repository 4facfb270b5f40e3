/** Ports for tests that start hosts. */
import { createSocket } from 'node:dgram'
import { createServer } from 'node:net'

/**
 * Ports of the hosts under test lie below the range (from 32768 on) out of which the
 * system serves whoever asks for any port: one from there that was free a moment ago
 * may be somebody's connection or datagram socket when a host binds it, or binds it again.
 */
const FIRST_PORT = 20_000
const PORT_COUNT = 12_000

/** Begins anywhere, since other runs on the same machine look for ports, too. */
let nextPort = Math.floor(Math.random() * PORT_COUNT)

/**
 * Hosts serve calls and datagrams on the same number.
 *
 * @returns a port of the loopback that was free for both a moment ago
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
