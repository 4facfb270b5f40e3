import { createSocket, type Socket } from 'node:dgram'
import { createServer } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { DatagramServer } from './datagrams/DatagramServer.js'
import { listenOnSamePort, type PortListener } from './listenOnSamePort.js'
import { RpcServer } from './RpcServer.js'

const HOST = '127.0.0.1'

describe('listenOnSamePort', () => {
  const closers: Array<() => void> = []
  afterEach(() => { for (const close of closers.splice(0)) close() })

  /** Binds a datagram socket to a port, as another process would. Its number is free for connections, which other processes may use as well. */
  async function occupy (): Promise<number> {
    const socket: Socket = createSocket('udp4')
    closers.push(() => { socket.close() })
    await new Promise<void>(resolve => { socket.bind(0, HOST, resolve) })
    const { port } = socket.address()
    return await isFreeForConnections(port) ? port : await occupy()
  }

  async function isFreeForConnections (port: number): Promise<boolean> {
    const server = createServer()
    return await new Promise<boolean>(resolve => {
      server.once('error', () => { resolve(false) })
      server.listen(port, HOST, () => { server.close(() => { resolve(true) }) })
    })
  }

  function openServers (): { readonly server: RpcServer, readonly datagrams: DatagramServer } {
    const server = new RpcServer()
    const datagrams = new DatagramServer()
    closers.push(() => { server.close() }, () => { datagrams.close() })
    return { server, datagrams }
  }

  /** A server that is first given a port by the system whose number another datagram socket has. */
  function firstGiven (port: number, server: RpcServer): PortListener {
    let isFirst = true
    return {
      listen: async (host, wanted) => {
        const given = isFirst && wanted === 0 ? port : wanted
        isFirst = false
        return await server.listen(host, given)
      },
      stopListening: (host, open) => { server.stopListening(host, open) }
    }
  }

  // Guards against hosts that fail to start because another process sends datagrams from the port that the system gave them.
  it('takes another free port if datagrams can not be received on the first one', async () => {
    const { server, datagrams } = openServers()
    const taken = await occupy()
    const port = await listenOnSamePort(firstGiven(taken, server), datagrams, HOST, 0)
    expect(port).not.toBe(taken)
    await new RpcServer().listen(HOST, taken)
  })

  it('rejects if datagrams can not be received on the port that is asked for, and gives the port up', async () => {
    const { datagrams } = openServers()
    const taken = await occupy()
    const given: number[] = []
    // No real server: another process may have the number of the datagram socket as the port of a connection.
    const server: PortListener = { listen: async (_host, wanted) => wanted, stopListening: (_host, port) => { given.push(port) } }
    await expect(listenOnSamePort(server, datagrams, HOST, taken)).rejects.toThrow(`EADDRINUSE ${HOST}:${taken}`)
    expect(given).toEqual([taken])
  })
})
