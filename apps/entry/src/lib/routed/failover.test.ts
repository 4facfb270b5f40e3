/**
 * Guards against streams that are aborted although they could go on. An endpoint had only paused, its attempt
 * was cancelled before another endpoint had accepted the rest of the stream, and that endpoint rejected it.
 * The first attempt must stay open until a second one is accepted, and a temporary rejection must not end the stream.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, describe, expect, it } from 'vitest'
import { respondOk, FakeEndpoint, rejectNotExecuted, resetConnection, streamEvent, type Behaviour } from './harness/FakeEndpoint.js'
import { PLAIN_HEADERS } from './harness/PlainCodec.js'
import { RoutedHost } from './harness/RoutedHost.js'

/** Pause in a stream, in milliseconds; longer than the silence after which failover begins. */
const PAUSE_MS = 2500

/** Number of requests that endpoints reject before they accept one. */
const REJECTIONS = 3

/** Time limit of a response, in milliseconds; callers disconnect after two seconds without an event. */
const RESPONSE_TIMEOUT_MS = 6000

/** Most requests to endpoints that reject, in the time before the caller disconnects. */
const MAX_RETRIES = 9

const AMPLE_BUDGET = { ratio: 100, slack: 200 }

const WHOLE = streamEvent(1) + streamEvent(2) + streamEvent(3)

/** Begins the response, and returns the ids of the events that remain to be sent. */
function beginResponse (...[request, response]: Parameters<Behaviour>): number[] {
  response.writeHead(200, { [PLAIN_HEADERS.id]: request.headers[PLAIN_HEADERS.id] ?? '' })
  const last = Number(request.headers[PLAIN_HEADERS.lastEvent] ?? 0)
  return [1, 2, 3].filter(id => id > last)
}

/** Sends the rest of the stream at once. */
const sendsRest: Behaviour = (request, response, body) => {
  response.end(beginResponse(request, response, body).map(streamEvent).join(''))
}

/** Sends one event, and half of the next one. */
const sendsFirst: Behaviour = (request, response, body) => {
  beginResponse(request, response, body)
  response.write(streamEvent(1) + streamEvent(2).slice(0, 8))
}

/** Sends one event, and the rest after a pause. */
const pauses: Behaviour = (request, response, body) => {
  sendsFirst(request, response, body)
  setTimeout(() => { response.end(streamEvent(2).slice(8) + streamEvent(3)) }, PAUSE_MS)
}

/** Sends one event and half of the next one, then resets the connection. */
const dies: Behaviour = (request, response, body) => {
  sendsFirst(request, response, body)
  setTimeout(() => { resetConnection(request, response, body) }, 50)
}

/** Never answers. */
const hangs: Behaviour = () => {}

/** Handles the first request to any endpoint with one behaviour, and all others with another. */
function firstThen (first: Behaviour, then: Behaviour): Behaviour {
  let received = 0
  return (request, response, body) => {
    received += 1
    ;(received === 1 ? first : then)(request, response, body)
  }
}

describe('a request whose endpoint stops responding or resets the connection', () => {
  let host: RoutedHost
  let endpoints: FakeEndpoint[]

  async function serve (count: number, behaviour: Behaviour): Promise<void> {
    endpoints = Array.from({ length: count }, (_, number) => new FakeEndpoint(`e${number}`, behaviour))
    host = new RoutedHost(endpoints, { budget: AMPLE_BUDGET })
    await host.start()
  }

  function countReceived (): number {
    return endpoints.reduce((sum, endpoint) => sum + endpoint.receivedRequests.length, 0)
  }

  function countAborted (): number {
    return endpoints.reduce((sum, endpoint) => sum + endpoint.abortedResponses, 0)
  }

  afterEach(async () => { await host.close() })

  describe('a stream whose endpoint pauses', () => {
    it.each([2, 3])('stays at its endpoint if the others reject the rest (%i endpoints)', async count => {
      await serve(count, firstThen(pauses, rejectNotExecuted))
      expect(await host.sendRequest('/resumable/1')).toMatchObject({ body: WHOLE, isWhole: true })
      expect(countReceived()).toBeGreaterThan(1)
      expect(countAborted()).toBe(0)
    })

    it('is cancelled there as soon as another endpoint has accepted the rest', async () => {
      await serve(2, firstThen(pauses, sendsRest))
      expect(await host.sendRequest('/resumable/1')).toMatchObject({ body: WHOLE, isWhole: true })
      await expect.poll(countAborted).toBe(1)
      expect(countReceived()).toBe(2)
    })

    // Guards against two endpoints that execute one stream for longer than the overlap.
    it('is cancelled there after the overlap, even if the other endpoint neither accepts nor rejects the rest', async () => {
      await serve(2, firstThen(sendsFirst, (request, response, body) => {
        const timer = setInterval(() => {
          if (countAborted() === 0) return
          clearInterval(timer)
          sendsRest(request, response, body)
        }, 10)
      }))
      expect(await host.sendRequest('/resumable/1')).toMatchObject({ body: WHOLE, isWhole: true })
    })

    it('stays there if it continues before the other endpoint has responded', async () => {
      let finish = (): void => {}
      await serve(2, firstThen((request, response, body) => {
        sendsFirst(request, response, body)
        finish = () => { response.end(streamEvent(2).slice(8) + streamEvent(3)) }
      }, () => { finish() }))
      expect(await host.sendRequest('/resumable/1')).toMatchObject({ body: WHOLE, isWhole: true })
      // The standby attempt is cancelled.
      await expect.poll(countAborted).toBe(1)
      expect(countReceived()).toBe(2)
    })

    it('stays there if the other endpoint fails to resume it', async () => {
      await serve(2, firstThen(pauses, (request, response) => {
        response.writeHead(500, { [PLAIN_HEADERS.id]: request.headers[PLAIN_HEADERS.id] ?? '' })
        response.end('no')
      }))
      expect(await host.sendRequest('/resumable/1')).toMatchObject({ body: WHOLE, isWhole: true })
    })

    it('continues at the other endpoint if its connection is reset before that endpoint has responded', async () => {
      let die = (): void => {}
      await serve(2, firstThen((request, response, body) => {
        sendsFirst(request, response, body)
        die = () => { resetConnection(request, response, body) }
      }, (request, response, body) => {
        die()
        setTimeout(() => { sendsRest(request, response, body) }, 20)
      }))
      expect(await host.sendRequest('/resumable/1')).toMatchObject({ body: WHOLE, isWhole: true })
      expect(countReceived()).toBe(2)
    })
  })

  describe('a stream whose endpoint resets the connection', () => {
    it('waits for an endpoint that rejects the rest temporarily', async () => {
      let asked = 0
      await serve(2, firstThen(dies, (request, response, body) => {
        asked += 1
        ;(asked <= REJECTIONS ? rejectNotExecuted : sendsRest)(request, response, body)
      }))
      expect(await host.sendRequest('/resumable/1')).toMatchObject({ body: WHOLE, isWhole: true })
    })

    it('is aborted once its caller would have disconnected, without retries in a tight loop', async () => {
      await serve(3, firstThen(dies, rejectNotExecuted))
      const outcome = await Promise.race([host.sendRequest('/resumable/1'), sleep(RESPONSE_TIMEOUT_MS, undefined)])
      expect(outcome).toMatchObject({ body: streamEvent(1), isWhole: false })
      expect(countReceived()).toBeLessThanOrEqual(1 + MAX_RETRIES)
    })
  })

  describe('a safe request', () => {
    it('stays at its endpoint if another one rejects it', async () => {
      await serve(2, firstThen((request, response, body) => { setTimeout(() => { respondOk(request, response, body) }, 1500) }, rejectNotExecuted))
      expect(await host.sendRequest('/safe/1')).toMatchObject({ status: 200, isWhole: true })
      expect(countReceived()).toBeGreaterThan(1)
    })

    // Guards against a second response that is appended to the part of the first one that the caller has.
    it('stays at its endpoint if the caller has part of its response', async () => {
      const half = 'x'.repeat(300 * 1024)
      await serve(2, firstThen((request, response) => {
        response.writeHead(200, { [PLAIN_HEADERS.id]: request.headers[PLAIN_HEADERS.id] ?? '' })
        response.write(half)
        setTimeout(() => { response.end('the rest') }, 1500)
      }, respondOk))
      const { body, isWhole } = await host.sendRequest('/safe/1')
      expect(isWhole).toBe(true)
      expect(body).toBe(`${half}the rest`)
      expect(countReceived()).toBe(1)
    })

    it('is sent to another endpoint while its endpoint hangs', async () => {
      await serve(2, firstThen(hangs, respondOk))
      expect(await host.sendRequest('/safe/1')).toMatchObject({ status: 200, isWhole: true })
    })
  })
})
