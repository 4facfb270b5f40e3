/**
 * Guards against callers that are refused by a host that has lost its links to all endpoints, while the other hosts
 * reach them. A refused or failed request counts as a failed first attempt, so the host has to get it served.
 */
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, describe, expect, it, vi } from 'vitest'
import { FakeEndpoint, rejectNotExecuted, respondOk, streamEvent, type Behaviour } from '../routed/harness/FakeEndpoint.js'
import { LinkCut, type CutKind } from '../routed/harness/LinkCut.js'
import { LinkedHosts } from '../routed/harness/LinkedHosts.js'
import { PLAIN_HEADERS } from '../routed/harness/PlainCodec.js'
import { TEST_SITE } from '../routed/harness/testSite.js'
import { RELAY_HEADER } from './relayHeaders.js'
import type { CallerOutcome, RoutedHost, RoutedHostOptions } from '../routed/harness/RoutedHost.js'

/** Time after the start of a cut from which requests have to be served as before, in milliseconds. */
const NOTICE_MS = 3000

const REQUEST_INTERVAL_MS = 20

/** Answers calls with a summary, and other requests with a stream. */
const respond: Behaviour = (request, response, body) => {
  const isStream = /^.(stream|resumable)/.test(request.url ?? '')
  if (!isStream) return respondOk(request, response, body)
  response.writeHead(200, { 'content-type': 'text/event-stream', [PLAIN_HEADERS.id]: request.headers[PLAIN_HEADERS.id] ?? '' })
  response.end(streamEvent(1) + streamEvent(2))
}

/** Sends an event every 50 ms until the signal is aborted. */
function streamUntil (signal: AbortSignal, request: Parameters<Behaviour>[0], response: Parameters<Behaviour>[1]): void {
  response.writeHead(200, { 'content-type': 'text/event-stream', [PLAIN_HEADERS.id]: request.headers[PLAIN_HEADERS.id] ?? '' })
  let number = 0
  const timer = setInterval(() => {
    number += 1
    response.write(streamEvent(number))
  }, 50)
  response.on('close', () => { clearInterval(timer) })
  signal.addEventListener('abort', () => { response.end() })
}

const ROUTES = ['/safe/1', '/unsafe/1', '/stream/1', '/resumable/1']

describe('a host that is cut off from all endpoints', () => {
  let linked: LinkedHosts
  let endpoints: FakeEndpoint[]
  let cuts: LinkCut[] = []

  async function start (count: number, options: RoutedHostOptions = {}): Promise<readonly RoutedHost[]> {
    endpoints = Array.from({ length: 4 }, (_, number) => new FakeEndpoint(`e${number}`, respond))
    linked = new LinkedHosts(count, endpoints, options)
    await linked.start()
    return linked.hosts
  }

  async function cut (hosts: readonly RoutedHost[], kind: CutKind): Promise<void> {
    cuts = await Promise.all(hosts.map(async ({ fleet }) => await LinkCut.between(fleet, kind)))
  }

  /** Sends requests to all hosts for a while, and returns the outcomes of each host. */
  async function sendFor (durationMs: number, hosts: readonly RoutedHost[]): Promise<CallerOutcome[][]> {
    const outcomes: Array<Array<Promise<CallerOutcome>>> = hosts.map(() => [])
    const endsAt = performance.now() + durationMs
    for (let number = 0; performance.now() < endsAt; number += 1) {
      hosts.forEach((host, at) => { outcomes[at]?.push(host.sendRequest(ROUTES[number % ROUTES.length] ?? '')) })
      await sleep(REQUEST_INTERVAL_MS)
    }
    return await Promise.all(outcomes.map(async ofHost => await Promise.all(ofHost)))
  }

  const isServed = ({ status, isWhole }: CallerOutcome): boolean => status === 200 && isWhole
  const servedShare = (outcomes: readonly CallerOutcome[]): number => outcomes.filter(isServed).length / outcomes.length
  const unserved = (outcomes: readonly CallerOutcome[]): string => JSON.stringify(outcomes.filter(outcome => !isServed(outcome)))

  afterEach(async () => {
    for (const each of cuts.splice(0)) each.heal()
    await linked.close()
  })

  describe.each<CutKind>(['refuses', 'resets', 'refuses-new', 'resets-new', 'hangs'])('by a link that %s', kind => {
    it.each([['one host', 1, 2], ['two hosts of three', 2, 3]])('gets its callers served three seconds after the cut (%s)', async (_text, cutOff, count) => {
      const hosts = await start(count)
      await sendFor(300, hosts)
      await cut(hosts.slice(0, cutOff), kind)
      await sendFor(NOTICE_MS, hosts)
      const outcomes = await sendFor(500, hosts)
      for (const ofHost of outcomes) expect(servedShare(ofHost), unserved(ofHost)).toBeGreaterThan(0.95)
    })
  })

  // Guards against a host that starts while it is cut off and loses its first requests, since it has no answer to miss yet.
  it.each<CutKind>(['refuses', 'hangs'])('gets its first callers served although it was cut off at its start, by a link that %s', async kind => {
    const [host, other] = await start(2)
    if (host === undefined || other === undefined) throw new Error('two hosts are needed')
    await cut([host], kind)
    await sendFor(1000, [other])
    const [outcomes = []] = await sendFor(500, [host, other])
    expect(servedShare(outcomes), unserved(outcomes)).toBeGreaterThan(0.95)
  })

  // Guards against 502s at a host whose old connections go on answering while each new one is established and then reset.
  it('gets its callers served while only its new connections are reset, and streams go on over the old ones', async () => {
    const [host, other] = await start(2)
    if (host === undefined || other === undefined) throw new Error('two hosts are needed')
    await sendFor(300, [host, other])
    const streaming = new AbortController()
    for (const endpoint of endpoints) endpoint.behaviour = (request, response, body) => { request.url?.startsWith('/resumable') === true ? streamUntil(streaming.signal, request, response) : respond(request, response, body) }
    const streams = Array.from({ length: 24 }, async () => await host.sendRequest('/resumable/1'))
    await sleep(200)
    await cut([host], 'resets-new')
    const sendCalls = async (durationMs: number): Promise<CallerOutcome[]> => {
      const calls: Array<Promise<CallerOutcome>> = []
      for (const endsAt = performance.now() + durationMs; performance.now() < endsAt; await sleep(REQUEST_INTERVAL_MS)) calls.push(host.sendRequest('/unsafe/1'), other.sendRequest('/unsafe/1'))
      return await Promise.all(calls)
    }
    await sendCalls(NOTICE_MS)
    const outcomes = await sendCalls(500)
    streaming.abort()
    await Promise.all(streams)
    expect(servedShare(outcomes), unserved(outcomes)).toBeGreaterThan(0.95)
  }, 20_000)

  it('sends requests to the endpoints itself once its links are back, and serves its callers all the while', async () => {
    const [host, other] = await start(2)
    if (host === undefined || other === undefined) throw new Error('two hosts are needed')
    await sendFor(300, [host, other])
    await cut([host], 'refuses')
    await sendFor(1500, [host, other])
    expect(host.fleet.links.isCutOff('app')).toBe(true)
    for (const each of cuts.splice(0)) each.heal()
    const [outcomes = []] = await sendFor(3000, [host, other])
    expect(servedShare(outcomes)).toBe(1)
    expect(host.fleet.links.isCutOff('app')).toBe(false)
    expect(host.fleet.links.admitsDirect('app', '/health', false)).toBe(true)
  })

  // Guards against callers that get the refusal of a relaying host that is partitioned as well.
  it('gets a request served by a third host if the second one fails to connect as well', async () => {
    const [host, second, third] = await start(3)
    if (host === undefined || second === undefined || third === undefined) throw new Error('three hosts are needed')
    await sendFor(300, [host, second, third])
    await cut([host, second], 'refuses')
    const outcomes = await Promise.all(Array.from({ length: 20 }, async () => await host.sendRequest('/unsafe/1')))
    expect(outcomes.filter(({ status }) => status !== 200)).toEqual([])
  })

  // Guards against relayed requests that are lost because a host with far more than its share closes new connections unread.
  it('gets a request served by a third host if the second one closes new connections unread', async () => {
    const [host, crowded, third] = await start(3, { liveHosts: 7 })
    if (host === undefined || crowded === undefined || third === undefined) throw new Error('three hosts are needed')
    await sendFor(300, [host, crowded, third])
    const streaming = new AbortController()
    for (const endpoint of endpoints) endpoint.behaviour = (request, response, body) => { request.url?.startsWith('/resumable') === true ? streamUntil(streaming.signal, request, response) : respond(request, response, body) }
    const streams = Array.from({ length: 48 }, async () => await crowded.sendRequest('/resumable/1'))
    await sleep(300)
    await cut([host], 'refuses')
    const outcomes = await Promise.all(Array.from({ length: 20 }, async () => await host.sendRequest('/unsafe/1')))
    streaming.abort()
    await Promise.all(streams)
    expect(outcomes.filter(({ status }) => status !== 200)).toEqual([])
  })

  // Guards against refusals while the control hosts elect a leader and the last report of load is older than usual.
  it('gets its callers served if the links break half a second after the last exchange of load', async () => {
    const [host, other] = await start(2)
    if (host === undefined || other === undefined) throw new Error('two hosts are needed')
    await sendFor(300, [host, other])
    linked.stopExchange()
    await sendFor(500, [host, other])
    await cut([host], 'refuses')
    const outcomes = await Promise.all(Array.from({ length: 8 }, async () => await host.sendRequest('/unsafe/1')))
    expect(outcomes.filter(({ status }) => status !== 200)).toEqual([])
  })

  // Guards against relayed requests that are returned although a paused endpoint would serve them in time.
  it('has a relayed request wait for an endpoint that is held back if another one is unreachable', async () => {
    const rejectForASecond: Behaviour = (request, response, body) => {
      response.setHeader(PLAIN_HEADERS.retryAfter, '1')
      rejectNotExecuted(request, response, body)
    }
    const paused = new FakeEndpoint('paused', rejectForASecond)
    endpoints = [new FakeEndpoint('unreachable', respond), paused]
    const routes = TEST_SITE.routes.map(route => ({ ...route, targetLatencyMs: 1500 }))
    linked = new LinkedHosts(1, endpoints, { site: { ...TEST_SITE, routes } })
    await linked.start()
    endpoints[0]?.close()
    const [host] = linked.hosts
    if (host === undefined) throw new Error('a host is needed')
    expect(await host.sendRequest('/unsafe/1')).toMatchObject({ status: 503 })
    paused.behaviour = respond
    expect(await host.sendRequest('/unsafe/1', undefined, { [RELAY_HEADER]: 'forged 0' })).toMatchObject({ status: 200 })
  })

  it('refuses at once, as not run, if the other hosts are cut off as well', async () => {
    const hosts = await start(3)
    await sendFor(300, hosts)
    await cut(hosts, 'refuses')
    await sendFor(1000, hosts)
    const startedAt = performance.now()
    const outcomes = await Promise.all(hosts.map(async host => await host.sendRequest('/unsafe/1')))
    for (const { status } of outcomes) expect(status).toBe(503)
    expect(performance.now() - startedAt).toBeLessThan(1000)
  })

  it('ends the work of a caller that leaves, at the host that serves it and at the endpoint', async () => {
    const [host, other] = await start(2)
    if (host === undefined || other === undefined) throw new Error('two hosts are needed')
    await sendFor(300, [host, other])
    await cut([host], 'refuses')
    await sendFor(1000, [host, other])
    for (const endpoint of endpoints) endpoint.behaviour = () => {}
    const received = Promise.race(endpoints.map(async endpoint => { await endpoint.nextRequest() }))
    const caller = connect(host.port, '127.0.0.1', () => { caller.write(`GET /unsafe/1 HTTP/1.1\r\nhost: h\r\n${PLAIN_HEADERS.id}: r1\r\n\r\n`) })
    await received
    const abortedBefore = endpoints.reduce((sum, { abortedResponses }) => sum + abortedResponses, 0)
    caller.destroy()
    await vi.waitFor(() => { expect(endpoints.reduce((sum, { abortedResponses }) => sum + abortedResponses, 0)).toBe(abortedBefore + 1) }, 500)
  })

  // Guards against callers that claim to be hosts, and against requests that are passed from host to host.
  it('serves a request with a forged ticket like any other, never relays it, and keeps the ticket from the endpoint', async () => {
    const [host, other] = await start(2)
    if (host === undefined || other === undefined) throw new Error('two hosts are needed')
    const forged = { [RELAY_HEADER]: 'forged 0' }
    expect(await other.sendRequest('/safe/1', undefined, forged)).toMatchObject({ status: 200 })
    expect(endpoints.flatMap(({ receivedRequests }) => receivedRequests).some(({ headers }) => RELAY_HEADER in headers)).toBe(false)
    await sendFor(300, [host, other])
    await cut([host], 'refuses')
    await sendFor(1000, [host, other])
    expect(await host.sendRequest('/safe/1', undefined, forged)).toMatchObject({ status: 503 })
  })
})
