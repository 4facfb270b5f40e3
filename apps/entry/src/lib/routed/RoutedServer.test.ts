import { request as httpRequest, type IncomingMessage } from 'node:http'
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { EarlyListener } from '@eelgrassmux/daemon/EarlyListener'
import { WorkGate } from '@eelgrassmux/daemon/WorkGate'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { GracefulShutdown } from '../GracefulShutdown.js'
import { respondOk, FakeEndpoint, rejectNotExecuted, resetConnection, streamEvent, type Behaviour } from './harness/FakeEndpoint.js'
import { idleQuarantine } from './harness/idleQuarantine.js'
import { PLAIN_HEADERS, PlainCodec } from './harness/PlainCodec.js'
import { TEST_SITE } from './harness/testSite.js'
import { RoutedFleet } from './RoutedFleet.js'
import { RoutedServer } from './RoutedServer.js'

interface Answer {
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
      fleet, codec: new PlainCodec(), work, stop: new GracefulShutdown(work, { balancerLagMs: 100, graceMs: 1000 }, telemetry), telemetry, quarantine: idleQuarantine(), regions: new Map(), budget: { ratio: 0.2, slack: 20 }, liveHosts: () => 1, desiredVersion: () => 1, remainingMsForVersion: () => Number.POSITIVE_INFINITY, isSiteUsable: () => true, areStoresUsable: () => false, storeClockMs: () => undefined, withRecentLoad: place => { place() }, isLagging: () => isLagging
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

  async function ask (path: string, options: { method?: string, body?: string, headers?: Record<string, string> } = {}): Promise<Answer> {
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

  /** Endpoints that answered `misbehave` once are well from then on. */
  function once (misbehave: Behaviour): Behaviour {
    let isFirst = true
    return (request, response, body) => {
      const behaviour = isFirst ? misbehave : respondOk
      isFirst = false
      behaviour(request, response, body)
    }
  }

  function seenBy (all: readonly FakeEndpoint[]): number {
    return all.reduce((sum, endpoint) => sum + endpoint.receivedRequests.length, 0)
  }

  describe('passing on', () => {
    it('changes neither method, target, body nor the answer', async () => {
      const [endpoint] = await serveBy(respondOk)
      const answer = await ask('/unsafe/a%20b?x=1&y=', { method: 'POST', body: 'bytes' })
      expect(answer).toMatchObject({ status: 200, body: 'POST /unsafe/a%20b?x=1&y= bytes', isWhole: true })
      expect(answer.headers['x-stamp']).toBe('s1')
      expect(endpoint?.receivedRequests[0]).toMatchObject({ method: 'POST', target: '/unsafe/a%20b?x=1&y=', body: 'bytes' })
    })

    it('passes events on as they come', async () => {
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

    it('hands on what is left of the time', async () => {
      const [endpoint] = await serveBy(respondOk)
      await ask('/safe/a', { headers: { [PLAIN_HEADERS.deadline]: '700' } })
      const left = Number(endpoint?.receivedRequests[0]?.headers[PLAIN_HEADERS.deadline])
      expect(left).toBeGreaterThan(0)
      expect(left).toBeLessThanOrEqual(700)
    })
  })

  describe('a request that may run once', () => {
    it('is answered "unknown" and not sent again when its endpoint resets the connection', async () => {
      const all = await serveBy(resetConnection, resetConnection)
      const answer = await ask('/unsafe/a', { method: 'POST' })
      expect(answer.status).toBe(502)
      expect(JSON.parse(answer.body)).toMatchObject({ run: 'unknown' })
      expect(seenBy(all)).toBe(1)
    })

    it('goes to another endpoint when the first says that it did not run it', async () => {
      let isFirst = true
      const rejectFirst: Behaviour = (request, response, body) => {
        const behaviour = isFirst ? rejectNotExecuted : respondOk
        isFirst = false
        behaviour(request, response, body)
      }
      const all = await serveBy(rejectFirst, rejectFirst)
      expect((await ask('/unsafe/a', { method: 'POST' })).status).toBe(200)
      expect(seenBy(all)).toBe(2)
    })

    it('is refused as "not run" when no endpoint ran it', async () => {
      await serveBy(rejectNotExecuted, rejectNotExecuted)
      const answer = await ask('/unsafe/a', { method: 'POST' })
      expect(answer.status).toBe(503)
      expect(JSON.parse(answer.body)).toMatchObject({ run: 'not-run' })
      expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0)
    })

    it('does not get the endpoint\'s 503 when that does not say that it did not run it', async () => {
      await serveBy((_request, response) => {
        response.writeHead(503)
        response.end()
      })
      expect((await ask('/unsafe/a', { method: 'POST' })).status).toBe(502)
    })

    it('does not get an answer that bears another request\'s id', async () => {
      await serveBy((_request, response) => {
        response.writeHead(200, { [PLAIN_HEADERS.id]: 'somebody-else' })
        response.end('theirs')
      })
      const answer = await ask('/unsafe/a', { method: 'POST' })
      expect(answer.status).toBe(502)
      expect(answer.body).not.toContain('theirs')
    })
  })

  describe('a safe request', () => {
    it('is sent again after a reset', async () => {
      const all = await serveBy(once(resetConnection), once(resetConnection))
      const answers = [await ask('/safe/a'), await ask('/safe/b'), await ask('/safe/c')]
      expect(answers.filter(answer => answer.status === 200).length).toBeGreaterThanOrEqual(2)
      expect(seenBy(all)).toBeGreaterThan(3)
    })

    it('is never answered with half a body', async () => {
      await serveBy((_request, response) => {
        response.writeHead(200, { 'content-length': '100' })
        response.write('half')
        setTimeout(() => { response.destroy() }, 20)
      })
      const answer = await ask('/safe/a')
      expect(answer.status).toBe(502)
    })
  })

  describe('a stream', () => {
    it('that breaks off never looks complete', async () => {
      await serveBy((_request, response) => {
        response.writeHead(200)
        response.write(streamEvent(1))
        setTimeout(() => { response.destroy() }, 20)
      })
      const answer = await ask('/stream/a', { method: 'POST' })
      expect(answer).toMatchObject({ status: 200, isWhole: false })
    })

    it('that an endpoint answers with a 503 of its own is not passed on as a promise', async () => {
      await serveBy((_request, response) => {
        response.writeHead(503)
        response.end('busy')
      })
      const answer = await ask('/stream/a', { method: 'POST' })
      expect(answer.status).toBe(502)
      expect(JSON.parse(answer.body)).toMatchObject({ run: 'unknown' })
    })

    it('gets no failure of a second endpoint in the place of its rest', async () => {
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
      const answer = await ask('/resumable/a', { method: 'POST' })
      expect(answer).toMatchObject({ status: 200, body: streamEvent(1), isWhole: false })
    })

    it('leaves an endpoint that has fallen silent, but not the last one that it may run on', async () => {
      let asked = 0
      await serveBy(...[1, 2].map((): Behaviour => (_request, response) => {
        asked += 1
        if (asked === 1) return
        // Longer than any silence that is taken for a fault: it may only be slow.
        setTimeout(() => {
          response.writeHead(200)
          response.end(streamEvent(1))
        }, 1600)
      }))
      const answer = await ask('/resumable/a', { method: 'POST' })
      expect(answer).toMatchObject({ status: 200, body: streamEvent(1), isWhole: true })
      expect(asked).toBe(2)
    })

    it('is broken off, and nothing else is, when no endpoint is left to go on with it', async () => {
      const [only] = await serveBy((_request, response) => {
        response.writeHead(200)
        response.write(streamEvent(1), () => { response.socket?.resetAndDestroy() })
      })
      const answer = await ask('/resumable/a', { method: 'POST' })
      expect(answer).toMatchObject({ status: 200, body: streamEvent(1), isWhole: false })
      expect(only?.receivedRequests).toHaveLength(1)
    })

    it('that may be resumed goes on elsewhere, each event once, half an event never', async () => {
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
      const answer = await ask('/resumable/a', { method: 'POST' })
      expect(answer).toMatchObject({ status: 200, isWhole: true, body: streamEvent(1) + streamEvent(2) + streamEvent(3) + streamEvent(4) })
      const askedBehind = all.flatMap(endpoint => endpoint.receivedRequests.map(seen => seen.headers[PLAIN_HEADERS.lastEvent]))
      expect(askedBehind.sort()).toEqual(['2', undefined])
    })
  })

  describe('time', () => {
    it('that is over is answered at once', async () => {
      const [endpoint] = await serveBy(() => {})
      const startedAt = performance.now()
      expect((await ask('/short/a', { method: 'POST' })).status).toBe(504)
      expect(performance.now() - startedAt).toBeLessThan(1000)
      await sleep(50)
      expect(endpoint?.closedEarly).toBe(1)
    })

    it('of an endpoint is freed when its caller leaves', async () => {
      const [endpoint] = await serveBy(() => {})
      const request = httpRequest({ host: '127.0.0.1', port, path: '/stream/a', method: 'POST', headers: { host: 'h' } })
      request.on('error', () => {})
      request.end()
      while (endpoint?.receivedRequests.length === 0) await sleep(5)
      request.destroy()
      await sleep(100)
      expect(endpoint?.closedEarly).toBe(1)
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
        fleet: freshFleet, codec: new PlainCodec(), work, stop: new GracefulShutdown(work, { balancerLagMs: 100, graceMs: 1000 }, telemetry), telemetry, quarantine: idleQuarantine(), regions: new Map(), budget: { ratio: 0.2, slack: 20 }, liveHosts: () => 1, desiredVersion: () => 1, remainingMsForVersion: () => Number.POSITIVE_INFINITY, isSiteUsable: () => true, areStoresUsable: () => false, storeClockMs: () => undefined, withRecentLoad: place => { place() }, isLagging: () => isLagging
      }, performance.now())
    })

    afterEach(async () => { await fresh.close() })

    it('serves whoever connected before it was loaded and asked before it knew the site', async () => {
      const early = await EarlyListener.open('127.0.0.1', 0, 10)
      port = early.port
      const answers = ['/safe/a', '/unsafe/b'].map(async path => await ask(path, { method: 'POST', body: 'bytes' }))
      await sleep(50)
      await fresh.listen('127.0.0.1', early.port, early)
      answers.push(ask('/safe/c'))
      await sleep(50)
      endpoints = [new FakeEndpoint('e0', respondOk)]
      fresh.configure(TEST_SITE)
      fresh.releaseWaiting()
      freshFleet.update(await Promise.all(endpoints.map(async endpoint => await endpoint.listen())))
      fresh.releaseWaiting()
      await sleep(20)
      expect(seenBy(endpoints)).toBe(0)
      freshFleet.otherHostsLoad.recordOwnReport(1, { work: [], links: [] })
      freshFleet.otherHostsLoad.recordTotals({ sequence: 1, work: [], links: [] }, performance.now())
      fresh.releaseWaiting()
      expect((await Promise.all(answers)).map(answer => answer.status)).toEqual([200, 200, 200])
      expect(endpoints[0]?.receivedRequests.map(seen => seen.body)).toEqual(expect.arrayContaining(['bytes', 'bytes']))
    })

    it('listens where its settings say, and gives up a port that was opened elsewhere', async () => {
      const early = await EarlyListener.open('127.0.0.1', 0, 10)
      port = await fresh.listen('127.0.0.1', 0, early)
      expect(port).not.toBe(early.port)
      port = early.port
      await expect(ask('/safe/a')).rejects.toThrow()
    })

    it('refuses as "not run" what waited for half of its time in vain, and forgets whose caller left', async () => {
      port = await fresh.listen('127.0.0.1', 0)
      const leaving = httpRequest({ host: '127.0.0.1', port, path: '/safe/a', headers: { host: 'h' } })
      leaving.on('error', () => {})
      leaving.end()
      const answer = await ask('/safe/b', { headers: { [PLAIN_HEADERS.deadline]: '300' } })
      leaving.destroy()
      expect(answer.status).toBe(503)
      expect(JSON.parse(answer.body)).toMatchObject({ run: 'not-run' })
      await sleep(50)
      endpoints = [new FakeEndpoint('e0', respondOk)]
      freshFleet.update(await Promise.all(endpoints.map(async endpoint => await endpoint.listen())))
      fresh.configure(TEST_SITE)
      fresh.releaseWaiting()
      await sleep(50)
      expect(seenBy(endpoints)).toBe(0)
    })
  })

  describe('a host that was held up', () => {
    async function sendAndLeave (): Promise<void> {
      const socket = connect(port, '127.0.0.1')
      await new Promise(resolve => socket.once('connect', resolve))
      // Let the server accept, so that request and leaving are read in one turn.
      await sleep(20)
      socket.write(`GET /safe/a HTTP/1.1\r\nhost: h\r\n${PLAIN_HEADERS.id}: r1\r\n\r\n`)
      socket.destroy()
      const heldUpUntil = performance.now() + 60
      while (performance.now() < heldUpUntil);
      await sleep(100)
    }

    it('sends nothing on of a caller that has left meanwhile', async () => {
      const all = await serveBy(respondOk)
      isLagging = true
      await sendAndLeave()
      expect(seenBy(all)).toBe(0)
    })

    it('sends nothing on of a caller that leaves while a connection is made', async () => {
      const all = await serveBy(respondOk)
      const socket = connect(port, '127.0.0.1')
      await new Promise(resolve => socket.once('connect', resolve))
      socket.write(`GET /safe/a HTTP/1.1\r\nhost: h\r\n${PLAIN_HEADERS.id}: r1\r\n\r\n`)
      // Both the connection to the endpoint and the leaving are there when the host gets to its sockets again.
      const choose = fleet.choose.bind(fleet)
      fleet.choose = (service, asked) => {
        const choice = choose(service, asked)
        setImmediate(() => {
          socket.destroy()
          const heldUpUntil = performance.now() + 60
          while (performance.now() < heldUpUntil);
        })
        return choice
      }
      await sleep(200)
      expect(seenBy(all)).toBe(0)
    })

    it('serves the others', async () => {
      await serveBy(respondOk)
      isLagging = true
      expect((await ask('/unsafe/a', { method: 'POST', body: 'bytes' })).status).toBe(200)
    })
  })

  describe('refusals of what was only looked at', () => {
    it.each([
      ['a path without a route', '/none/a', {}, 404],
      ['a missing key', '/private/a', {}, 401],
      ['a wrong key', '/private/a', { headers: { [PLAIN_HEADERS.key]: 'wrong' } }, 401],
      ['a body over the limit', '/safe/a', { method: 'POST', body: 'x'.repeat(2000) }, 413],
      ['headers over the limit', '/safe/a', { headers: { long: 'x'.repeat(5000) } }, 431]
    ])('name %s', async (_what, path, options, status) => {
      const all = await serveBy(respondOk)
      expect((await ask(path, options)).status).toBe(status)
      expect(seenBy(all)).toBe(0)
    })

    it('do not meet a caller with the right key, which goes no further', async () => {
      const [endpoint] = await serveBy(respondOk)
      expect((await ask('/private/a', { headers: { [PLAIN_HEADERS.key]: 'right' } })).status).toBe(200)
      expect(endpoint?.receivedRequests[0]?.headers[PLAIN_HEADERS.key]).toBeUndefined()
    })
  })
})
