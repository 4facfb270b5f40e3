/** Guards against an endpoint that stops inside the head of its answer, of which callers get a success that is framed as whole. */
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, describe, expect, it } from 'vitest'
import { respondOk, FakeEndpoint, streamEvent, type Behaviour } from './harness/FakeEndpoint.js'
import { LinkCut } from './harness/LinkCut.js'
import { LinkedHosts } from './harness/LinkedHosts.js'
import { PLAIN_HEADERS } from './harness/PlainCodec.js'
import { RoutedHost } from './harness/RoutedHost.js'

type End = 'ended' | 'reset'

const FRAMINGS = ['content-length: 12', 'transfer-encoding: chunked', 'connection: close'] as const
const ENDS: readonly End[] = ['ended', 'reset']

/** Share of the head after which it stops; 1 is all of it but the last byte of the empty line. */
const CUTS = [0.01, 0.2, 0.5, 0.8, 0.97, 1]

/** Bytes of a head that takes several packets, and time between these, in milliseconds. */
const LONG_HEAD_BYTES = 9000
const PACKET_BYTES = 1400
const PACKET_INTERVAL_MS = 2

const ROUTES = ['/safe/', '/unsafe/', '/stream/', '/resumable/']

/** Answers a connection's first request and stops inside the head of the answer to the second. */
function stopsInsideHead (framing: string, cut: number, end: End, isLong: boolean): Behaviour {
  const answered = new WeakSet<object>()
  return (request, response, body) => {
    const { socket, headers } = request
    if (request.url?.startsWith('/safe/first') === true && !answered.has(socket)) {
      answered.add(socket)
      respondOk(request, response, body)
      return
    }
    const filler = isLong ? `x-filler: ${'f'.repeat(LONG_HEAD_BYTES)}\r\n` : ''
    const head = `HTTP/1.1 200 OK\r\n${PLAIN_HEADERS.id}: ${String(headers[PLAIN_HEADERS.id])}\r\ncontent-type: text/event-stream\r\n${filler}${framing}\r\n\r\n`
    const part = head.slice(0, Math.min(head.length - 1, Math.ceil(head.length * cut)))
    void sendInPackets(part, bytes => { socket.write(bytes) }).then(() => { end === 'ended' ? socket.end() : socket.resetAndDestroy() })
  }
}

async function sendInPackets (text: string, write: (bytes: string) => void): Promise<void> {
  for (let at = 0; at < text.length; at += PACKET_BYTES) {
    write(text.slice(at, at + PACKET_BYTES))
    await sleep(PACKET_INTERVAL_MS)
  }
}

describe('an answer that stops inside its head', () => {
  let host: RoutedHost | undefined
  let linked: LinkedHosts | undefined
  let cut: LinkCut | undefined

  afterEach(async () => {
    cut?.heal()
    cut = undefined
    await host?.close()
    await linked?.close()
    host = linked = undefined
  })

  describe.each(FRAMINGS)('with %s', framing => {
    it.each(ENDS.flatMap(end => [[end, false], [end, true]] as const))('and is %s is no success (head of several packets: %s)', async (end, isLong) => {
      for (const cut of CUTS) {
        const serving = new RoutedHost([new FakeEndpoint('e0', stopsInsideHead(framing, cut, end, isLong))])
        host = serving
        await serving.start()
        // The answer before it leaves a kept connection.
        expect(await serving.sendRequest('/safe/first')).toMatchObject({ status: 200 })
        const outcomes = await Promise.all(ROUTES.map(async route => await serving.sendRequest(`${route}x`)))
        expect(outcomes.filter(({ status, isWhole }) => status === 200 && isWhole)).toEqual([])
        await serving.close()
        host = undefined
      }
    })
  })

  it('is no success for a caller that has sent the next request behind it', async () => {
    let count = 0
    const stops = stopsInsideHead('content-length: 12', 0.8, 'ended', true)
    const serving = host = new RoutedHost([new FakeEndpoint('e0', (request, response, body) => {
      count += 1
      if (request.url?.startsWith('/unsafe/') === true) stops(request, response, body)
      else respondOk(request, response, body)
    })])
    await serving.start()
    const text = await new Promise<string>(resolve => {
      let received = ''
      const socket = connect(serving.port, '127.0.0.1', () => {
        for (const [path, id] of [['/unsafe/a', 'r1'], ['/safe/b', 'r2']]) socket.write(`GET ${path ?? ''} HTTP/1.1\r\nhost: h\r\n${PLAIN_HEADERS.id}: ${id ?? ''}\r\n\r\n`)
      })
      socket.on('data', chunk => {
        received += String(chunk)
        if (received.includes('GET /safe/b')) socket.destroy()
      })
      socket.on('close', () => { resolve(received) })
      socket.on('error', () => {})
    })
    const statuses = [...text.matchAll(/HTTP\/1\.1 (\d{3})/g)].map(([, status]) => status)
    expect(statuses[0]).not.toBe('200')
    expect(statuses.filter(status => status === '200').length).toBeLessThanOrEqual(1)
    expect(count).toBeGreaterThan(0)
  })

  it('is no success through several hosts', async () => {
    linked = new LinkedHosts(2, [new FakeEndpoint('e0', stopsInsideHead('content-length: 12', 0.8, 'ended', true))])
    await linked.start()
    for (const each of linked.hosts) {
      const outcomes = await Promise.all(ROUTES.map(async route => await each.sendRequest(`${route}x`)))
      expect(outcomes.filter(({ status, isWhole }) => status === 200 && isWhole)).toEqual([])
    }
  })

  it('is no success through a host that is cut off and has another host serve its callers', async () => {
    const endpoints = [new FakeEndpoint('e0', stopsInsideHead('transfer-encoding: chunked', 0.8, 'reset', true)), new FakeEndpoint('e1', stopsInsideHead('content-length: 12', 0.97, 'ended', false))]
    linked = new LinkedHosts(2, endpoints)
    await linked.start()
    const [cutOff, other] = linked.hosts
    if (cutOff === undefined || other === undefined) throw new Error('two hosts are needed')
    await other.sendRequest('/safe/first')
    cut = await LinkCut.between(cutOff.fleet, 'refuses')
    const countReceived = (): number => endpoints.reduce((sum, { receivedRequests }) => sum + receivedRequests.length, 0)
    let relayed = 0
    for (let number = 0; number < 8; number += 1) {
      const received = countReceived()
      const outcomes = await Promise.all(ROUTES.map(async route => await cutOff.sendRequest(`${route}${number}`)))
      relayed += countReceived() - received
      expect(outcomes.filter(({ status, isWhole }) => status === 200 && isWhole)).toEqual([])
      await other.sendRequest('/safe/first')
    }
    expect(relayed).toBeGreaterThan(0)
  })

  it('is no end of a stream that is moved to the endpoint in the middle', async () => {
    let streams = 0
    /** The first stream breaks after an event; what follows stops inside its head. */
    const behave: Behaviour = (request, response, body) => {
      streams += 1
      if (streams > 1) {
        stopsInsideHead('content-length: 30', 0.97, 'ended', false)(request, response, body)
        return
      }
      response.writeHead(200, { [PLAIN_HEADERS.id]: request.headers[PLAIN_HEADERS.id] ?? '' })
      response.write(streamEvent(1))
      setTimeout(() => { request.socket.resetAndDestroy() }, 50)
    }
    const serving = host = new RoutedHost([new FakeEndpoint('e0', behave), new FakeEndpoint('e1', behave)])
    await serving.start()
    const { body, isWhole } = await serving.sendRequest('/resumable/x')
    expect({ body, isWhole }).toEqual({ body: streamEvent(1), isWhole: false })
    expect(streams).toBeGreaterThan(1)
  })

  // A second endpoint makes hosts try again and open standbys.
  it('does not spoil the answer of another endpoint', async () => {
    const serving = host = new RoutedHost([
      new FakeEndpoint('e0', stopsInsideHead('transfer-encoding: chunked', 0.8, 'reset', true)), new FakeEndpoint('e1', respondOk)
    ])
    await serving.start()
    for (let number = 0; number < 20; number += 1) {
      const { status, body, isWhole } = await serving.sendRequest(`/safe/${number}`)
      if (status === 200) expect({ body, isWhole }).toEqual({ body: `GET /safe/${number} `, isWhole: true })
    }
  })
})
