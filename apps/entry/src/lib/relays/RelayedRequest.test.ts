import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { createServer, type RequestListener, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { FaultBoundary, RequestFaults } from '../faults/RequestFaults.js'
import type { CallerExchange } from '../routed/CallerExchange.js'
import { isConnectionCheck } from './relayHeaders.js'
import { RelayedRequest } from './RelayedRequest.js'
import { RelayHosts } from './RelayHosts.js'

const REQUESTS = 8

describe('RelayedRequest', () => {
  const servers: Server[] = []
  let relays: RelayHosts | undefined
  afterEach(() => {
    relays?.close()
    for (const server of servers.splice(0)) {
      server.closeAllConnections()
      server.close()
    }
  })

  async function listen (respond: RequestListener): Promise<string> {
    const server = createServer(respond)
    servers.push(server)
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    return `127.0.0.1:${(server.address() as AddressInfo).port}`
  }

  const exchange = {
    toEndpoint: write => ({ method: 'GET', target: '/a', headers: write([]), body: undefined }),
    writeHead: () => {},
    write: () => true,
    onceDrained: () => {},
    end: () => {}
  } satisfies Partial<CallerExchange> as unknown as CallerExchange

  async function relay (hosts: RelayHosts): Promise<string> {
    return await new Promise(resolve => {
      new RelayedRequest(exchange, undefined, performance.now(), hosts, {
        sending: () => true,
        refused: () => {},
        unavailable: () => { resolve('unavailable') },
        lost: (_host, detail) => { resolve(`lost: ${detail}`) },
        complete: (_host, status) => { resolve(String(status)) }
      }, new FaultBoundary(new RequestFaults(new Telemetry('test')), 'r1', () => {})).start()
    })
  }

  // Guards against requests that are lost, or wait until their deadline, at a host that accepts connections and does not answer.
  it.each<[string, RequestListener]>([
    ['does not answer', () => {}],
    ['closes new connections', request => { request.socket.destroy() }]
  ])('sends nothing but checks to a host that %s, and has another one serve each request', async (_text, respond) => {
    const received: Array<string | undefined> = []
    const failing = await listen((request, response) => {
      received.push(request.url)
      expect(isConnectionCheck(request.method, request.url)).toBe(true)
      respond(request, response)
    })
    const serving = await listen((request, response) => { response.writeHead(isConnectionCheck(request.method, request.url) ? 204 : 200).end() })
    relays = new RelayHosts({ open: async () => ({ ticket: 't', hosts: [failing, serving] }), holderOf: async () => undefined })
    const hosts = relays
    const outcomes = await Promise.all(Array.from({ length: REQUESTS }, async () => await relay(hosts)))
    expect(outcomes).toEqual(Array(REQUESTS).fill('200'))
    expect(received.length).toBeGreaterThan(0)
  })
})
