/**
 * Guards against the promise "not run, and never will be" for requests that ran, and against second runs of requests that
 * may run once. The promise belongs to one send of one request: what stands ahead of or behind it on its connections is
 * neither an answer to it nor a statement about it.
 */
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, describe, expect, it, vi } from 'vitest'
import { LoadFeatures } from '@eelgrassmux/routing/features/LoadFeatures'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { RELAY_REFUSED_HEADER } from '../relays/relayHeaders.js'
import { WaitingExchange } from '../waiting/WaitingExchange.js'
import { FakeEndpoint, rejectNotExecuted, respondOk, type Behaviour } from './harness/FakeEndpoint.js'
import { LinkCut } from './harness/LinkCut.js'
import { LinkedHosts } from './harness/LinkedHosts.js'
import { PLAIN_HEADERS } from './harness/PlainCodec.js'
import { RoutedHost, type RoutedHostOptions } from './harness/RoutedHost.js'
import { TEST_SITE } from './harness/testSite.js'

const HEADER_TIMEOUT_MS = 200

/** Longer than the header timeout and the interval at which Node checks it. */
const LONG_CALL_MS = 1700

const SITE = { ...TEST_SITE, limits: { ...TEST_SITE.limits, headerTimeoutMs: HEADER_TIMEOUT_MS } }

/** Statuses that promise that the request has not run and never will. */
const PROMISES = [408, 421, 429, 503]

const idOf: (request: Parameters<Behaviour>[0]) => string = request => String(request.headers[PLAIN_HEADERS.id] ?? '')

/** A rejection as an endpoint writes it. */
const rejection = (id: string | undefined): string => `HTTP/1.1 503 Full\r\n${id === undefined ? '' : `${PLAIN_HEADERS.id}: ${id}\r\n`}${PLAIN_HEADERS.notRun}: 1\r\ncontent-length: 0\r\n\r\n`

const callOf = (id: string): string => `POST /unsafe/${id} HTTP/1.1\r\nhost: h\r\n${PLAIN_HEADERS.id}: ${id}\r\ncontent-length: 2\r\n\r\nab`

let host: RoutedHost | undefined
let linked: LinkedHosts | undefined
let waiting: WaitingExchange | undefined
let caller: Socket | undefined
let cut: LinkCut | undefined
afterEach(async () => {
  caller?.destroy()
  waiting?.stop()
  cut?.heal()
  await host?.close()
  await linked?.close()
  host = linked = waiting = caller = cut = undefined
})

async function hostBefore (endpoint: FakeEndpoint, options: RoutedHostOptions = {}): Promise<RoutedHost> {
  const started = new RoutedHost([endpoint], { site: SITE, ...options })
  host = started
  await started.start()
  return started
}

/** Sends bytes over one connection and returns what comes back until it ends. */
async function exchangeBytes (port: number, parts: ReadonlyArray<string | number>, ends = false): Promise<string> {
  const socket = connect({ host: '127.0.0.1', port, allowHalfOpen: true })
  caller = socket
  let received = ''
  socket.on('error', () => {})
  socket.on('data', chunk => { received += String(chunk) })
  const closed = once(socket, 'close')
  socket.on('end', () => { socket.end() })
  for (const part of parts) {
    if (typeof part === 'number') await sleep(part)
    else socket.write(part)
  }
  if (ends) socket.end()
  await Promise.race([closed, sleep(2 * LONG_CALL_MS)])
  return received
}

const statusesIn = (received: string): number[] => [...received.matchAll(/HTTP\/1\.1 (\d{3})/g)].map(match => Number(match[1]))

const respondAfter = (milliseconds: number): Behaviour => (request, response, body) => { setTimeout(() => { respondOk(request, response, body) }, milliseconds) }

describe('a call whose answer is awaited', () => {
  // Guards against the 408, 400 or 431 of the HTTP server for bytes behind a call, which a caller takes for the answer to that call.
  it.each<[string, ReadonlyArray<string | number>]>([
    ['half a head', ['POST /unsafe/b HTTP/1.1\r\nhost: h\r\n']],
    ['a head that grows slowly', ['POST /unsafe/b HTTP/1.1\r\n', 300, 'host: h\r\n', 900, 'x: y\r\n']],
    ['bytes that are no request', ['\u0000\u0001 what\r\n\r\n']],
    ['a head that is too large', [`POST /unsafe/b HTTP/1.1\r\nhost: h\r\nx: ${'y'.repeat(80_000)}\r\n\r\n`]],
    ['a request with two lengths', ['POST /unsafe/b HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n']]
  ])('gets its own answer with %s behind it', async (_, behind) => {
    const endpoint = new FakeEndpoint('e0', respondAfter(LONG_CALL_MS))
    const { port } = await hostBefore(endpoint)
    const received = await exchangeBytes(port, [callOf('a'), 20, ...behind])
    expect(statusesIn(received)).toEqual([200])
    expect(received).toContain(`${PLAIN_HEADERS.id}: a`)
    expect(endpoint.receivedRequests.map(({ target }) => target)).toEqual(['/unsafe/a'])
  })

  // Guards against endpoints that go on working for a caller that has left, as well as against the 400.
  it('is cancelled without an answer if its caller sends half a head and closes one way', async () => {
    const endpoint = new FakeEndpoint('e0', respondAfter(300))
    const { port } = await hostBefore(endpoint)
    const received = await exchangeBytes(port, [callOf('a'), 20, 'POST /unsafe/b HTT'], true)
    expect(received).toBe('')
    await vi.waitFor(() => { expect(endpoint.abortedResponses).toBe(1) }, 200)
  })

  it('is followed by the refusal of half a head that came after its answer', async () => {
    const { port } = await hostBefore(new FakeEndpoint('e0', respondOk))
    const received = await exchangeBytes(port, [callOf('a'), 200, 'POST /unsafe/b HTTP/1.1\r\nhost: h\r\n'])
    expect(statusesIn(received)).toEqual([200, 408])
  })
})

describe('a call that an endpoint has rejected', () => {
  /** Rejects the first request, and writes a copy of the rejection ahead of the next answer on that connection. */
  function rejectTwice (ran: string[]): Behaviour {
    let rejectedOn: Socket | undefined
    let copy = ''
    return (request, response, body) => {
      if (rejectedOn === undefined) {
        rejectedOn = request.socket
        copy = rejection(idOf(request))
        request.socket.write(copy)
        return
      }
      if (request.socket === rejectedOn) request.socket.write(copy)
      ran.push(idOf(request))
      setTimeout(() => { if (!response.destroyed) respondOk(request, response, body) }, 30)
    }
  }

  // Guards against a second rejection of an earlier send that is believed for the send that runs, with a promise to the caller.
  it('and that is sent again is not refused with a promise by the second rejection of the first send', async () => {
    const ran: string[] = []
    const entry = await hostBefore(new FakeEndpoint('e0', rejectTwice(ran)))
    expect((await entry.sendRequest('/unsafe/a')).status).toBe(503)
    const { status } = await entry.sendRequest('/unsafe/a')
    expect(ran).toHaveLength(1)
    expect(PROMISES).not.toContain(status)
  })

  // Guards against a second run of a call that waits in the order of all hosts and returns to the endpoint that rejected it.
  it('and that waits for the same endpoint runs once', async () => {
    const ran: string[] = []
    waiting = new WaitingExchange('h', { features: new LoadFeatures(['waiting-order']), leader: () => undefined, withRecentLoad: place => { place() }, datagrams: { ask: () => {} } }, new Telemetry('test'))
    const entry = await hostBefore(new FakeEndpoint('e0', rejectTwice(ran)), { waiting: { waiting } })
    const { status } = await entry.sendRequest('/unsafe/a')
    expect(ran).toHaveLength(1)
    expect(PROMISES).not.toContain(status)
  })
})

describe('a call that is placed by two waits at once', () => {
  // Guards against two sends of a call that may run once by two paths that both wait.
  it('runs once and gets its answer', async () => {
    const endpoints = [new FakeEndpoint('e0', respondAfter(50)), new FakeEndpoint('e1', respondAfter(50))]
    host = new RoutedHost(endpoints, {
      withRecentLoad: place => {
        place()
        place()
      }
    })
    await host.start()
    expect(await host.sendRequest('/unsafe/a')).toMatchObject({ status: 200, isWhole: true })
    expect(endpoints.flatMap(({ receivedRequests }) => receivedRequests)).toHaveLength(1)
  })

  // Guards against a second send of a call that has been answered with a promise.
  it('does not run after its refusal', async () => {
    let placeAgain = (): void => {}
    const endpoint = new FakeEndpoint('e0', rejectNotExecuted)
    host = new RoutedHost([endpoint], {
      withRecentLoad: place => {
        placeAgain = place
        place()
      }
    })
    await host.start()
    expect((await host.sendRequest('/unsafe/a')).status).toBe(503)
    placeAgain()
    await sleep(50)
    expect(endpoint.receivedRequests).toHaveLength(1)
  })
})

describe('a call that follows a rejected one over the same connection', () => {
  // Guards against a rejection without an id, which may belong to an earlier request of the connection.
  it('is not refused with a promise by a rejection that bears no id', async () => {
    const ran: string[] = []
    let received = 0
    const entry = await hostBefore(new FakeEndpoint('e0', (request, response, body) => {
      received += 1
      if (received === 1) {
        request.socket.write(rejection(idOf(request)))
        return
      }
      request.socket.write(rejection(undefined))
      ran.push(idOf(request))
      setTimeout(() => { if (!response.destroyed) respondOk(request, response, body) }, 30)
    }))
    await entry.sendRequest('/unsafe/a', undefined, { [PLAIN_HEADERS.id]: 'a' })
    const { status } = await entry.sendRequest('/unsafe/b', undefined, { [PLAIN_HEADERS.id]: 'b' })
    expect(ran).toEqual(['b'])
    expect(PROMISES).not.toContain(status)
  })
})

describe('a call that an endpoint ran', () => {
  // Guards against a status that promises too much on an answer that is too large to be held back.
  it.each([503, 429, 408, 421])('is not answered with a status %d of which the body is long', async status => {
    const entry = await hostBefore(new FakeEndpoint('e0', (request, response) => {
      response.writeHead(status, { [PLAIN_HEADERS.id]: idOf(request) })
      response.end('x'.repeat(400_000))
    }))
    expect(PROMISES).not.toContain((await entry.sendRequest('/unsafe/a')).status)
  })

  // Guards against an endpoint's header that a relaying host takes for the other host's own statement.
  it('through another host runs once, whatever headers its answer has', async () => {
    const endpoint = new FakeEndpoint('e0', (request, response) => {
      response.writeHead(200, { [PLAIN_HEADERS.id]: idOf(request), [RELAY_REFUSED_HEADER]: 'draining' })
      response.end('done')
    })
    linked = new LinkedHosts(3, [endpoint])
    await linked.start()
    const [first] = linked.hosts
    if (first === undefined) throw new Error('a host is needed')
    const call = async (id: string): Promise<number> => (await first.sendRequest('/unsafe/a', undefined, { [PLAIN_HEADERS.id]: id })).status
    for (let number = 0; number < 20; number += 1) {
      await call(`before-${number}`)
      await sleep(20)
    }
    cut = await LinkCut.between(first.fleet, 'refuses')
    const statuses: number[] = []
    for (let number = 0; number < 60; number += 1) {
      statuses.push(await call(`call-${number}`))
      await sleep(20)
    }
    const runs = new Map<string, number>()
    for (const { headers } of endpoint.receivedRequests) runs.set(String(headers[PLAIN_HEADERS.id]), (runs.get(String(headers[PLAIN_HEADERS.id])) ?? 0) + 1)
    expect([...runs].filter(([, count]) => count > 1)).toEqual([])
    expect(statuses.slice(-10)).toEqual(Array(10).fill(200))
  })
})
