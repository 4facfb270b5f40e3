/**
 * Guards against streams that break off when the platform kills a stopping host, eight seconds
 * after its SIGTERM. When all hosts were stopped in turn under load, callers kept their
 * connections, and with more than half of the hosts of a data centre stopping at once the
 * balancer sent new connections to all of them again. The quiet period never came, and up to
 * five seconds after the signal the host accepted requests that could not finish before the
 * kill. The first test reproduces this with constant requests.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { connect, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { respondOk, FakeEndpoint, rejectNotExecuted, streamEvent, type Behaviour } from './routed/harness/FakeEndpoint.js'
import { PLAIN_HEADERS } from './routed/harness/PlainCodec.js'
import { BALANCER_LAG_MS, RoutedHost, type RoutedHostOptions } from './routed/harness/RoutedHost.js'
import { TEST_SITE, testRoute } from './routed/harness/testSite.js'

/** `/resumable/` paths stream until the test ends the stream, `/silent/` paths never answer, all others answer at once. */
const byPath: Behaviour = (request, response, body) => {
  if (request.url?.startsWith('/silent/') === true) return
  if (request.url?.startsWith('/resumable/') !== true) {
    respondOk(request, response, body)
    return
  }
  response.writeHead(200, { [PLAIN_HEADERS.id]: request.headers[PLAIN_HEADERS.id] ?? '' })
  response.write(streamEvent(1))
}

/** Larger than the buffers between a host and a caller that does not read. */
const LARGE = 'x'.repeat(8 * 1024 * 1024)

const answerLarge: Behaviour = (request, response) => {
  response.writeHead(200, { [PLAIN_HEADERS.id]: request.headers[PLAIN_HEADERS.id] ?? '' })
  response.end(LARGE)
}

function rawRequest (path: string, method = 'GET', bodyBytes = 0): string {
  const length = bodyBytes === 0 ? '' : `content-length: ${bodyBytes}\r\n`
  return `${method} ${path} HTTP/1.1\r\nhost: h\r\n${PLAIN_HEADERS.id}: r1\r\n${length}\r\n`
}

async function readAll (socket: Socket): Promise<string> {
  const chunks: Buffer[] = []
  socket.on('data', (chunk: Buffer) => { chunks.push(chunk) })
  socket.resume()
  await new Promise(resolve => { socket.once('close', resolve) })
  return Buffer.concat(chunks).toString()
}

/** Site with a route whose timeout exceeds every grace period in this file. */
const SITE = { ...TEST_SITE, routes: [...TEST_SITE.routes, testRoute('/silent/', { timeoutMs: 20_000 })] }

describe('GracefulShutdown', () => {
  let host: RoutedHost
  let endpoint: FakeEndpoint
  let headCame: () => void
  let whenHeadCame: Promise<void>

  async function serve (behaviour: Behaviour, options: RoutedHostOptions, endpoints = 1): Promise<void> {
    const standins = Array.from({ length: endpoints }, (_, number) => new FakeEndpoint(`e${number}`, behaviour))
    endpoint = standins[0] ?? new FakeEndpoint('none', behaviour)
    host = new RoutedHost(standins, { site: SITE, ...options })
    await host.start()
  }

  async function openRaw (): Promise<Socket> {
    const socket = connect({ host: '127.0.0.1', port: host.port })
    await new Promise(resolve => { socket.once('connect', resolve) })
    return socket
  }

  /** @returns status, and whether the answer was complete */
  async function ask (path: string): Promise<{ readonly status: number, readonly isWhole: boolean }> {
    const { status, isWhole } = await host.sendRequest(path, () => { headCame() })
    return { status, isWhole }
  }

  beforeEach(() => {
    whenHeadCame = new Promise(resolve => { headCame = resolve })
  })

  afterEach(async () => { await host.close() })

  describe('after the lag of the balancer', () => {
    it('refuses a stream that could outlast the process, although requests keep coming', async () => {
      await serve(byPath, { graceMs: 5000 })
      host.stop.begin(performance.now() - BALANCER_LAG_MS, host.server)
      void host.stop.drain(host.server)
      const asked = ask('/resumable/1')
      await Promise.race([asked, endpoint.nextRequest()])
      // The platform kills the process at the end of the grace period.
      await host.server.close()
      expect(await asked).toEqual({ status: 503, isWhole: true })
      expect(endpoint.receivedRequests).toHaveLength(0)
    })

    // Guards against requests that come late in the grace, are passed on, and are cut without an answer when it ends.
    it.each([['longer', 2000], ['shorter', 2 * BALANCER_LAG_MS]])('answers every request that it has passed on in a grace period %s than the lag and a request', async (_text, graceMs) => {
      await serve((request, response, body) => { setTimeout(() => { respondOk(request, response, body) }, BALANCER_LAG_MS) }, { graceMs })
      host.stop.begin(performance.now(), host.server)
      const grace = { isOver: false }
      const answered: string[] = []
      const callers = Array.from({ length: 8 }, async (_, caller) => {
        for (let sent = 0; !grace.isOver; sent += 1) {
          const id = `${caller}-${sent}`
          const { status } = await host.sendRequest('/unsafe/1', () => {}, { [PLAIN_HEADERS.id]: id })
          if (status === 200) answered.push(id)
        }
      })
      await host.stop.drain(host.server)
      await host.server.close()
      grace.isOver = true
      await Promise.all(callers)
      expect(endpoint.receivedRequests.map(({ headers }) => headers[PLAIN_HEADERS.id])).toEqual(expect.arrayContaining(answered))
      expect(answered).toHaveLength(endpoint.receivedRequests.length)
    })

    it('serves requests that will end in time while earlier work keeps the process running', async () => {
      await serve(byPath, { graceMs: 60_000 })
      const earlier = ask('/resumable/1')
      await endpoint.nextRequest()
      host.stop.begin(performance.now(), host.server)
      const drained = host.stop.drain(host.server)
      expect(await ask('/safe/2')).toEqual({ status: 200, isWhole: true })
      // Longer than the quiet period after which a shutdown without work ends.
      await sleep(600)
      expect(await ask('/safe/3')).toEqual({ status: 200, isWhole: true })
      endpoint.endResponses()
      expect(await earlier).toEqual({ status: 200, isWhole: true })
      await drained
      expect(await ask('/safe/4')).toEqual({ status: 503, isWhole: true })
    })
  })

  describe('work in flight', () => {
    it('lasts until its answer has left the process', async () => {
      await serve(answerLarge, { graceMs: 60_000 })
      const caller = await openRaw()
      caller.pause()
      caller.write(rawRequest('/safe/1'))
      await endpoint.nextRequest()
      host.stop.begin(performance.now(), host.server)
      const closed = host.stop.drain(host.server).then(async () => { await host.server.close() })
      await sleep(1000)
      const received = readAll(caller)
      await closed
      expect((await received).length).toBeGreaterThan(LARGE.length)
      expect(await received).toMatch(/x\r\n0\r\n\r\n$/)
    })

    it('includes each request of a connection on which several were sent at once', async () => {
      await serve(byPath, { graceMs: 60_000 })
      const caller = await openRaw()
      host.stop.begin(performance.now(), host.server)
      caller.write(rawRequest('/safe/1') + rawRequest('/safe/2'))
      const received = await readAll(caller)
      expect(received.match(/HTTP\/1.1 200/g)).toHaveLength(2)
      expect(received.match(/Connection: close/g)).toHaveLength(1)
      await host.stop.drain(host.server)
    })

    it('includes a request whose body is still being read', async () => {
      await serve(byPath, { graceMs: 60_000 })
      const caller = await openRaw()
      caller.write(rawRequest('/unsafe/1', 'POST', 10) + 'half ')
      const received = readAll(caller)
      await sleep(50)
      host.stop.begin(performance.now(), host.server)
      const closed = host.stop.drain(host.server).then(async () => { await host.server.close() })
      // Longer than the quiet period after which a shutdown without work ends.
      await sleep(1000)
      caller.write('whole')
      await closed
      expect(await received).toContain('POST /unsafe/1 half whole')
    })

    it('includes a request that waits for data which the host loads at its start', async () => {
      await serve(byPath, { graceMs: 60_000, startedAt: performance.now() })
      const asked = ask('/safe/1')
      await sleep(50)
      host.stop.begin(performance.now(), host.server)
      await host.stop.drain(host.server)
      await host.server.close()
      expect(await asked).toEqual({ status: 200, isWhole: true })
    })
  })

  describe('after the signal', () => {
    it('measures the time from the signal, however late it is handled', async () => {
      await serve(byPath, { graceMs: 5000 })
      host.stop.begin(performance.now() - 4000, host.server)
      expect(host.stop.admits({ remainingMs: 2000, expectedMs: 10 })).toBe(false)
      await host.stop.drain(host.server)
    })

    it('does not retry a request that could outlast the process', async () => {
      let served = 0
      const rejectOnceStopping: Behaviour = (request, response, body) => {
        served += 1
        if (!host.stop.isStopping) host.stop.begin(performance.now() - 55_000, host.server)
        rejectNotExecuted(request, response, body)
      }
      await serve(rejectOnceStopping, { graceMs: 60_000 }, 2)
      expect(await ask('/resumable/1')).toEqual({ status: 503, isWhole: true })
      expect(served).toBe(1)
      await host.stop.drain(host.server)
    })

    it('accepts a stream within the lag of the balancer, and asks its caller to close the connection', async () => {
      await serve(byPath, { graceMs: 5000 })
      host.stop.begin(performance.now(), host.server)
      const asked = host.sendRequest('/resumable/1')
      await endpoint.nextRequest()
      endpoint.endResponses()
      expect(await asked).toMatchObject({ status: 200, isWhole: true, connection: 'close' })
    })
  })

  describe('at the end of the grace period', () => {
    it('aborts the remaining requests, none of them as complete, and logs their ids', async () => {
      const lines: string[] = []
      await serve(byPath, { graceMs: 300 })
      host.telemetry.logDecision = (event, request) => { lines.push(`${event} ${request}`) }
      const begun = ask('/resumable/1')
      await whenHeadCame
      const silent = ask('/silent/2')
      await endpoint.nextRequest()
      host.stop.begin(performance.now(), host.server)
      await host.stop.drain(host.server)
      expect(await begun).toEqual({ status: 200, isWhole: false })
      // The request was sent to an endpoint, so the answer may not claim that it did not run.
      expect(await silent).toEqual({ status: 502, isWhole: true })
      expect(lines.filter(line => line.startsWith('cut-by-stop'))).toHaveLength(2)
    })
  })
})
