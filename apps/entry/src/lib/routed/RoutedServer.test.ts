import { request as httpRequest, type IncomingMessage } from 'node:http'
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { EarlyListener } from '@eelgrassmux/daemon/EarlyListener'
import { WorkGate } from '@eelgrassmux/daemon/WorkGate'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { GracefulShutdown } from '../GracefulShutdown.js'
import { respondOk, FakeEndpoint, rejectNotExecuted, resetConnection, streamEvent, type Behaviour } from './harness/FakeEndpoint.js'
import { emptyQuarantine } from './harness/emptyQuarantine.js'
import { PLAIN_HEADERS, PlainCodec } from './harness/PlainCodec.js'
import { TEST_SITE } from './harness/testSite.js'
import { RoutedFleet } from './RoutedFleet.js'
import { RoutedServer } from './RoutedServer.js'

interface ReceivedResponse {
  readonly status: number
  readonly headers: IncomingMessage['headers']
  readonly body: string
  readonly isWhole: boolean
}

describe('RoutedServer', () => {
  let port = 0
  let endpoints: FakeEndpoint[] = []
  let server: RoutedServer
  let fleet: RoutedFleet
  let isLagging = false

  beforeEach(async () => {
    const telemetry = new Telemetry('test')
    const work = new WorkGate()
    fleet = new RoutedFleet('n', () => 1, telemetry)
    server = new RoutedServer({
      fleet, codec: new PlainCodec(), work, stop: new GracefulShutdown(work, { balancerLagMs: 100, graceMs: 1000 }, telemetry), telemetry, quarantine: emptyQuarantine(), regions: new Map(), budget: { ratio: 0.2, slack: 20 }, liveHosts: () => 1, desiredVersion: () => 1, remainingMsForVersion: () => Number.POSITIVE_INFINITY, isSiteUsable: () => true, areStoresUsable: () => false, storeClockMs: () => undefined, withRecentLoad: place => { place() }, isLagging: () => isLagging
    })
    port = await server.listen('127.0.0.1', 0)
    server.configure(TEST_SITE)
    endpoints = []
    isLagging = false
  })

  afterEach(async () => {
    await server.close()
    for (const endpoint of endpoints) endpoint.close()
  })

  async function serveBy (...behaviours: Behaviour[]): Promise<FakeEndpoint[]> {
    endpoints = behaviours.map((behaviour, number) => new FakeEndpoint(`e${number}`, behaviour))
    fleet.update(await Promise.all(endpoints.map(async endpoint => await endpoint.listen())))
    return endpoints
  }

  async function sendRequest (path: string, options: { method?: string, body?: string, headers?: Record<string, string> } = {}): Promise<ReceivedResponse> {
    return await new Promise((resolve, reject) => {
      const request = httpRequest({
        host: '127.0.0.1', port, path, method: options.method ?? 'GET', headers: { host: 'h', [PLAIN_HEADERS.id]: 'r1', ...options.headers }
      }, response => {
        let body = ''
        response.on('data', chunk => { body += String(chunk) })
        response.on('close', () => { resolve({ status: response.statusCode ?? 0, headers: response.headers, body, isWhole: response.complete }) })
      })
      request.on('error', reject)
      request.end(options.body)
    })
  }

  /** Uses `misbehave` for the first request, and responds normally from then on. */
  function once (misbehave: Behaviour): Behaviour {
    let isFirst = true
    return (request, response, body) => {
      const behaviour = isFirst ? misbehave : respondOk
      isFirst = false
      behaviour(request, response, body)
    }
  }

  function countReceived (all: readonly FakeEndpoint[]): number {
    return all.reduce((sum, endpoint) => sum + endpoint.receivedRequests.length, 0)
  }

  describe('forwarding', () => {
    it('preserves method, target, body and response', async () => {
      const [endpoint] = await serveBy(respondOk)
      const answer = await sendRequest('/unsafe/a%20b?x=1&y=', { method: 'POST', body: 'bytes' })
      expect(answer).toMatchObject({ status: 200, body: 'POST /unsafe/a%20b?x=1&y= bytes', isWhole: true })
      expect(answer.headers['x-stamp']).toBe('s1')
      expect(endpoint?.receivedRequests[0]).toMatchObject({ method: 'POST', target: '/unsafe/a%20b?x=1&y=', body: 'bytes' })
    })

    it('forwards events as they arrive', async () => {
      let finish: (() => void) | undefined
      await serveBy((_request, response) => {
        response.writeHead(200)
        response.write(streamEvent(1))
        finish = () => { response.end(streamEvent(2)) }
      })
      const first = new Promise<string>(resolve => {
        httpRequest({ host: '127.0.0.1', port, path: '/stream/a', method: 'POST', headers: { host: 'h', [PLAIN_HEADERS.id]: 'r1' } }, response => {
          response.once('data', chunk => { resolve(String(chunk)) })
        }).end()
      })
      expect(await first).toBe(streamEvent(1))
      finish?.()
    })

    it('forwards the remaining time', async () => {
      const [endpoint] = await serveBy(respondOk)
      await sendRequest('/safe/a', { headers: { [PLAIN_HEADERS.deadline]: '700' } })
      const left = Number(endpoint?.receivedRequests[0]?.headers[PLAIN_HEADERS.deadline])
      expect(left).toBeGreaterThan(0)
      expect(left).toBeLessThanOrEqual(700)
    })
  })

  describe('a request that may be executed only once', () => {
    it('is refused as "unknown" and not retried if its endpoint resets the connection', async () => {
      const all = await serveBy(resetConnection, resetConnection)
      const answer = await sendRequest('/unsafe/a', { method: 'POST' })
      expect(answer.status).toBe(502)
      expect(JSON.parse(answer.body)).toMatchObject({ run: 'unknown' })
      expect(countReceived(all)).toBe(1)
    })

    it('is sent to another endpoint if the first states that it did not execute it', async () => {
      let isFirst = true
      const rejectFirst: Behaviour = (request, response, body) => {
        const behaviour = isFirst ? rejectNotExecuted : respondOk
        isFirst = false
        behaviour(request, response, body)
      }
      const all = await serveBy(rejectFirst, rejectFirst)
      expect((await sendRequest('/unsafe/a', { method: 'POST' })).status).toBe(200)
      expect(countReceived(all)).toBe(2)
    })

    it('is refused as "not run" if no endpoint executed it', async () => {
      await serveBy(rejectNotExecuted, rejectNotExecuted)
      const answer = await sendRequest('/unsafe/a', { method: 'POST' })
      expect(answer.status).toBe(503)
      expect(JSON.parse(answer.body)).toMatchObject({ run: 'not-run' })
      expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0)
    })

    it('does not get the endpoint\'s 503 if that does not state that the request was not executed', async () => {
      await serveBy((_request, response) => {
        response.writeHead(503)
        response.end()
      })
      expect((await sendRequest('/unsafe/a', { method: 'POST' })).status).toBe(502)
    })

    it('does not get a response with another request\'s id', async () => {
      await serveBy((_request, response) => {
        response.writeHead(200, { [PLAIN_HEADERS.id]: 'somebody-else' })
        response.end('theirs')
      })
      const answer = await sendRequest('/unsafe/a', { method: 'POST' })
      expect(answer.status).toBe(502)
      expect(answer.body).not.toContain('theirs')
    })
  })

  describe('a safe request', () => {
    it('is retried after a reset', async () => {
      const all = await serveBy(once(resetConnection), once(resetConnection))
      const answers = [await sendRequest('/safe/a'), await sendRequest('/safe/b'), await sendRequest('/safe/c')]
      expect(answers.filter(answer => answer.status === 200).length).toBeGreaterThanOrEqual(2)
      expect(countReceived(all)).toBeGreaterThan(3)
    })

    it('never gets half a body', async () => {
      await serveBy((_request, response) => {
        response.writeHead(200, { 'content-length': '100' })
        response.write('half')
        setTimeout(() => { response.destroy() }, 20)
      })
      const answer = await sendRequest('/safe/a')
      expect(answer.status).toBe(502)
    })
  })

  describe('a stream', () => {
    it('that is aborted never looks complete', async () => {
      await serveBy((_request, response) => {
        response.writeHead(200)
        response.write(streamEvent(1))
        setTimeout(() => { response.destroy() }, 20)
      })
      const answer = await sendRequest('/stream/a', { method: 'POST' })
      expect(answer).toMatchObject({ status: 200, isWhole: false })
    })

    it('gets a 502 if the endpoint\'s 503 does not state that the request was not executed', async () => {
      await serveBy((_request, response) => {
        response.writeHead(503)
        response.end('busy')
      })
      const answer = await sendRequest('/stream/a', { method: 'POST' })
      expect(answer.status).toBe(502)
      expect(JSON.parse(answer.body)).toMatchObject({ run: 'unknown' })
    })

    it('gets no failure response of a second endpoint in place of its rest', async () => {
      let served = 0
      const breakThenFail: Behaviour = (_request, response) => {
        served += 1
        if (served > 1) {
          response.writeHead(500)
          response.end('no event')
          return
        }
        response.writeHead(200)
        response.write(streamEvent(1))
        setTimeout(() => { response.destroy() }, 20)
      }
      await serveBy(breakThenFail, breakThenFail)
      const answer = await sendRequest('/resumable/a', { method: 'POST' })
      expect(answer).toMatchObject({ status: 200, body: streamEvent(1), isWhole: false })
    })

    it('leaves an endpoint that stops responding, but not the last one that it may run on', async () => {
      let asked = 0
      await serveBy(...[1, 2].map((): Behaviour => (_request, response) => {
        asked += 1
        if (asked === 1) return
        // Longer than the silence after which an endpoint counts as unresponsive; this one is only slow.
        setTimeout(() => {
          response.writeHead(200)
          response.end(streamEvent(1))
        }, 1600)
      }))
      const answer = await sendRequest('/resumable/a', { method: 'POST' })
      expect(answer).toMatchObject({ status: 200, body: streamEvent(1), isWhole: true })
      expect(asked).toBe(2)
    })

    it('is aborted, and not sent again, if no endpoint is left to resume it', async () => {
      const [only] = await serveBy((_request, response) => {
        response.writeHead(200)
        response.write(streamEvent(1), () => { response.socket?.resetAndDestroy() })
      })
      const answer = await sendRequest('/resumable/a', { method: 'POST' })
      expect(answer).toMatchObject({ status: 200, body: streamEvent(1), isWhole: false })
      expect(only?.receivedRequests).toHaveLength(1)
    })

    it('that may be resumed continues at another endpoint, with each event once and no partial event', async () => {
      const serve = (isBroken: () => boolean): Behaviour => (request, response) => {
        const from = Number(request.headers[PLAIN_HEADERS.lastEvent] ?? 0)
        response.writeHead(200)
        if (isBroken()) {
          response.write(streamEvent(1) + streamEvent(2) + streamEvent(3).slice(0, 8))
          setTimeout(() => { response.destroy() }, 20)
          return
        }
        response.end([1, 2, 3, 4].filter(id => id > from).map(streamEvent).join(''))
      }
      let served = 0
      const firstBreaks = (): boolean => (served += 1) === 1
      const all = await serveBy(serve(firstBreaks), serve(firstBreaks))
      const answer = await sendRequest('/resumable/a', { method: 'POST' })
      expect(answer).toMatchObject({ status: 200, isWhole: true, body: streamEvent(1) + streamEvent(2) + streamEvent(3) + streamEvent(4) })
      const resumedAfter = all.flatMap(endpoint => endpoint.receivedRequests.map(received => received.headers[PLAIN_HEADERS.lastEvent]))
      expect(resumedAfter.sort()).toEqual(['2', undefined])
    })
  })

  describe('a request', () => {
    it('gets a 504 at once when its deadline passes', async () => {
      const [endpoint] = await serveBy(() => {})
      const startedAt = performance.now()
      expect((await sendRequest('/short/a', { method: 'POST' })).status).toBe(504)
      expect(performance.now() - startedAt).toBeLessThan(1000)
      await sleep(50)
      expect(endpoint?.abortedResponses).toBe(1)
    })

    it('does not keep its endpoint busy after its caller has disconnected', async () => {
      const [endpoint] = await serveBy(() => {})
      const request = httpRequest({ host: '127.0.0.1', port, path: '/stream/a', method: 'POST', headers: { host: 'h' } })
      request.on('error', () => {})
      request.end()
      while (endpoint?.receivedRequests.length === 0) await sleep(5)
      request.destroy()
      await sleep(100)
      expect(endpoint?.abortedResponses).toBe(1)
    })
  })

  describe('a host that has just started', () => {
    let fresh: RoutedServer
    let freshFleet: RoutedFleet

    beforeEach(() => {
      const telemetry = new Telemetry('test')
      const work = new WorkGate()
      freshFleet = new RoutedFleet('n', () => 1, telemetry)
      fresh = new RoutedServer({
        fleet: freshFleet, codec: new PlainCodec(), work, stop: new GracefulShutdown(work, { balancerLagMs: 100, graceMs: 1000 }, telemetry), telemetry, quarantine: emptyQuarantine(), regions: new Map(), budget: { ratio: 0.2, slack: 20 }, liveHosts: () => 1, desiredVersion: () => 1, remainingMsForVersion: () => Number.POSITIVE_INFINITY, isSiteUsable: () => true, areStoresUsable: () => false, storeClockMs: () => undefined, withRecentLoad: place => { place() }, isLagging: () => isLagging
      }, performance.now())
    })

    afterEach(async () => { await fresh.close() })

    it('serves callers that connected before it listened and sent requests before it knew the site configuration', async () => {
      const early = await EarlyListener.open('127.0.0.1', 0, 10)
      port = early.port
      const answers = ['/safe/a', '/unsafe/b'].map(async path => await sendRequest(path, { method: 'POST', body: 'bytes' }))
      await sleep(50)
      await fresh.listen('127.0.0.1', early.port, early)
      answers.push(sendRequest('/safe/c'))
      await sleep(50)
      endpoints = [new FakeEndpoint('e0', respondOk)]
      fresh.configure(TEST_SITE)
      fresh.releaseWaiting()
      freshFleet.update(await Promise.all(endpoints.map(async endpoint => await endpoint.listen())))
      fresh.releaseWaiting()
      await sleep(20)
      expect(countReceived(endpoints)).toBe(0)
      freshFleet.otherHostsLoad.recordOwnReport(1, { work: [], links: [] }, performance.now())
      freshFleet.otherHostsLoad.recordTotals({ sequence: 1, work: [], links: [] }, performance.now())
      fresh.releaseWaiting()
      expect((await Promise.all(answers)).map(answer => answer.status)).toEqual([200, 200, 200])
      expect(endpoints[0]?.receivedRequests.map(received => received.body)).toEqual(expect.arrayContaining(['bytes', 'bytes']))
    })

    it('listens at the address in its settings, and closes an early listener at another address', async () => {
      const early = await EarlyListener.open('127.0.0.1', 0, 10)
      port = await fresh.listen('127.0.0.1', 0, early)
      expect(port).not.toBe(early.port)
      port = early.port
      await expect(sendRequest('/safe/a')).rejects.toThrow()
    })

    it('refuses requests as "not run" after half of their deadline, and drops those whose caller has disconnected', async () => {
      port = await fresh.listen('127.0.0.1', 0)
      const leaving = httpRequest({ host: '127.0.0.1', port, path: '/safe/a', headers: { host: 'h' } })
      leaving.on('error', () => {})
      leaving.end()
      const answer = await sendRequest('/safe/b', { headers: { [PLAIN_HEADERS.deadline]: '300' } })
      leaving.destroy()
      expect(answer.status).toBe(503)
      expect(JSON.parse(answer.body)).toMatchObject({ run: 'not-run' })
      await sleep(50)
      endpoints = [new FakeEndpoint('e0', respondOk)]
      freshFleet.update(await Promise.all(endpoints.map(async endpoint => await endpoint.listen())))
      fresh.configure(TEST_SITE)
      fresh.releaseWaiting()
      await sleep(50)
      expect(countReceived(endpoints)).toBe(0)
    })
  })

  describe('a host whose event loop was blocked', () => {
    async function sendAndDisconnect (): Promise<void> {
      const socket = connect(port, '127.0.0.1')
      await new Promise(resolve => socket.once('connect', resolve))
      // The server accepts the connection first, so that request and disconnect are read in one turn.
      await sleep(20)
      socket.write(`GET /safe/a HTTP/1.1\r\nhost: h\r\n${PLAIN_HEADERS.id}: r1\r\n\r\n`)
      socket.destroy()
      const blockedUntil = performance.now() + 60
      while (performance.now() < blockedUntil);
      await sleep(100)
    }

    it('sends no request of a caller that has disconnected meanwhile', async () => {
      const all = await serveBy(respondOk)
      isLagging = true
      await sendAndDisconnect()
      expect(countReceived(all)).toBe(0)
    })

    it('sends no request of a caller that disconnects while the connection to the endpoint is opened', async () => {
      const all = await serveBy(respondOk)
      const socket = connect(port, '127.0.0.1')
      await new Promise(resolve => socket.once('connect', resolve))
      socket.write(`GET /safe/a HTTP/1.1\r\nhost: h\r\n${PLAIN_HEADERS.id}: r1\r\n\r\n`)
      // When the event loop continues, both the connection to the endpoint and the disconnect are ready to be read.
      const choose = fleet.choose.bind(fleet)
      fleet.choose = (service, asked) => {
        const choice = choose(service, asked)
        setImmediate(() => {
          socket.destroy()
          const blockedUntil = performance.now() + 60
          while (performance.now() < blockedUntil);
        })
        return choice
      }
      await sleep(200)
      expect(countReceived(all)).toBe(0)
    })

    it('serves all other requests', async () => {
      await serveBy(respondOk)
      isLagging = true
      expect((await sendRequest('/unsafe/a', { method: 'POST', body: 'bytes' })).status).toBe(200)
    })
  })

  describe('refusals before a request is sent', () => {
    it.each([
      ['a path without a route', '/none/a', {}, 404],
      ['a missing key', '/private/a', {}, 401],
      ['a wrong key', '/private/a', { headers: { [PLAIN_HEADERS.key]: 'wrong' } }, 401],
      ['a body over the limit', '/safe/a', { method: 'POST', body: 'x'.repeat(2000) }, 413],
      ['headers over the limit', '/safe/a', { headers: { long: 'x'.repeat(5000) } }, 431]
    ])('are sent for %s', async (_what, path, options, status) => {
      const all = await serveBy(respondOk)
      expect((await sendRequest(path, options)).status).toBe(status)
      expect(countReceived(all)).toBe(0)
    })

    it('are not sent to a caller with a valid key, and the key is not forwarded', async () => {
      const [endpoint] = await serveBy(respondOk)
      expect((await sendRequest('/private/a', { headers: { [PLAIN_HEADERS.key]: 'right' } })).status).toBe(200)
      expect(endpoint?.receivedRequests[0]?.headers[PLAIN_HEADERS.key]).toBeUndefined()
    })
  })
})
