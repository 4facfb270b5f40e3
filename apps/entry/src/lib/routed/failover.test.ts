/**
 * Seen: a stream was cut because its endpoint, which had only paused, was left before another one had
 * accepted the rest, and the other one rejected it. A stream that has begun is lost with its only
 * attempt, so the first attempt has to outlive the question whether there is a second, and a rejection
 * that passes must not end the stream.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, describe, expect, it } from 'vitest'
import { respondOk, FakeEndpoint, rejectNotExecuted, resetConnection, streamEvent, type Behaviour } from './harness/FakeEndpoint.js'
import { PLAIN_HEADERS } from './harness/PlainCodec.js'
import { RoutedHost } from './harness/RoutedHost.js'

/** Pause in a stream, longer than the silence after which it goes on elsewhere where it may, in milliseconds. */
const PAUSE_MS = 2500

/** Requests that endpoints reject before they take one. */
const REJECTED = 3

/** Time that a caller's patience of two seconds allows with room to spare, in milliseconds. */
const LONG_AFTER_MS = 6000

/** Most asks of an endpoint that rejects, over all of a caller's patience. */
const MOST_ASKS = 9

const AMPLE_BUDGET = { ratio: 100, slack: 200 }

const WHOLE = streamEvent(1) + streamEvent(2) + streamEvent(3)

/** Numbers of the events that an endpoint still has to send. */
function begin (...[request, response]: Parameters<Behaviour>): number[] {
  response.writeHead(200, { [PLAIN_HEADERS.id]: request.headers[PLAIN_HEADERS.id] ?? '' })
  const last = Number(request.headers[PLAIN_HEADERS.lastEvent] ?? 0)
  return [1, 2, 3].filter(id => id > last)
}

/** Sends the rest of the stream at once. */
const sendsRest: Behaviour = (request, response, body) => {
  response.end(begin(request, response, body).map(streamEvent).join(''))
}

/** Sends one event, and half of the next. */
const sendsFirst: Behaviour = (request, response, body) => {
  begin(request, response, body)
  response.write(streamEvent(1) + streamEvent(2).slice(0, 8))
}

/** Sends one event, and the rest after a pause. */
const pauses: Behaviour = (request, response, body) => {
  sendsFirst(request, response, body)
  setTimeout(() => { response.end(streamEvent(2).slice(8) + streamEvent(3)) }, PAUSE_MS)
}

/** Sends one event and dies. */
const dies: Behaviour = (request, response, body) => {
  sendsFirst(request, response, body)
  setTimeout(() => { resetConnection(request, response, body) }, 50)
}

/** Never answers. */
const hangs: Behaviour = () => {}

/** Lets the first request that comes to any endpoint be handled by one behaviour, and all others by another. */
function firstThen (first: Behaviour, then: Behaviour): Behaviour {
  let seen = 0
  return (request, response, body) => {
    seen += 1
    ;(seen === 1 ? first : then)(request, response, body)
  }
}

describe('a request whose endpoint has fallen silent or died', () => {
  let host: RoutedHost
  let endpoints: FakeEndpoint[]

  async function serve (count: number, behaviour: Behaviour): Promise<void> {
    endpoints = Array.from({ length: count }, (_, number) => new FakeEndpoint(`e${number}`, behaviour))
    host = new RoutedHost(endpoints, { budget: AMPLE_BUDGET })
    await host.start()
  }

  function seen (): number {
    return endpoints.reduce((sum, endpoint) => sum + endpoint.receivedRequests.length, 0)
  }

  function closedEarly (): number {
    return endpoints.reduce((sum, endpoint) => sum + endpoint.closedEarly, 0)
  }

  afterEach(async () => { await host.close() })

  describe('a stream whose endpoint pauses', () => {
    it.each([2, 3])('is not left for endpoints that reject the rest (%i endpoints)', async count => {
      await serve(count, firstThen(pauses, rejectNotExecuted))
      expect(await host.sendRequest('/resumable/1')).toMatchObject({ body: WHOLE, isWhole: true })
      expect(seen()).toBeGreaterThan(1)
      expect(closedEarly()).toBe(0)
    })

    it('is left as soon as another endpoint has accepted the rest', async () => {
      await serve(2, firstThen(pauses, sendsRest))
      expect(await host.sendRequest('/resumable/1')).toMatchObject({ body: WHOLE, isWhole: true })
      await expect.poll(closedEarly).toBe(1)
      expect(seen()).toBe(2)
    })

    // Guards against two endpoints at work on one stream for longer than the overlap.
    it('is left though the other endpoint neither accepts nor rejects the rest for long', async () => {
      await serve(2, firstThen(sendsFirst, (request, response, body) => {
        const look = setInterval(() => {
          if (closedEarly() === 0) return
          clearInterval(look)
          sendsRest(request, response, body)
        }, 10)
      }))
      expect(await host.sendRequest('/resumable/1')).toMatchObject({ body: WHOLE, isWhole: true })
    })

    it('stays if it goes on while the other endpoint has not answered yet', async () => {
      let goOn = (): void => {}
      await serve(2, firstThen((request, response, body) => {
        sendsFirst(request, response, body)
        goOn = () => { response.end(streamEvent(2).slice(8) + streamEvent(3)) }
      }, () => { goOn() }))
      expect(await host.sendRequest('/resumable/1')).toMatchObject({ body: WHOLE, isWhole: true })
      // The other one is told that it is not wanted.
      await expect.poll(closedEarly).toBe(1)
      expect(seen()).toBe(2)
    })

    it('is not left for one that fails to go on with it', async () => {
      await serve(2, firstThen(pauses, (request, response) => {
        response.writeHead(500, { [PLAIN_HEADERS.id]: request.headers[PLAIN_HEADERS.id] ?? '' })
        response.end('no')
      }))
      expect(await host.sendRequest('/resumable/1')).toMatchObject({ body: WHOLE, isWhole: true })
    })

    it('goes on elsewhere if it dies while the other endpoint has not answered yet', async () => {
      let die = (): void => {}
      await serve(2, firstThen((request, response, body) => {
        sendsFirst(request, response, body)
        die = () => { resetConnection(request, response, body) }
      }, (request, response, body) => {
        die()
        setTimeout(() => { sendsRest(request, response, body) }, 20)
      }))
      expect(await host.sendRequest('/resumable/1')).toMatchObject({ body: WHOLE, isWhole: true })
      expect(seen()).toBe(2)
    })
  })

  describe('a stream whose endpoint dies', () => {
    it('waits for an endpoint that rejects the rest for a while', async () => {
      let asked = 0
      await serve(2, firstThen(dies, (request, response, body) => {
        asked += 1
        ;(asked <= REJECTED ? rejectNotExecuted : sendsRest)(request, response, body)
      }))
      expect(await host.sendRequest('/resumable/1')).toMatchObject({ body: WHOLE, isWhole: true })
    })

    it('is cut once its caller would have left, and not asked for in a tight loop', async () => {
      await serve(3, firstThen(dies, rejectNotExecuted))
      const outcome = await Promise.race([host.sendRequest('/resumable/1'), sleep(LONG_AFTER_MS, undefined)])
      expect(outcome).toMatchObject({ body: streamEvent(1), isWhole: false })
      expect(seen()).toBeLessThanOrEqual(1 + MOST_ASKS)
    })
  })

  describe('a safe request', () => {
    it('is not left for an endpoint that rejects it', async () => {
      await serve(2, firstThen((request, response, body) => { setTimeout(() => { respondOk(request, response, body) }, 1500) }, rejectNotExecuted))
      expect(await host.sendRequest('/safe/1')).toMatchObject({ status: 200, isWhole: true })
      expect(seen()).toBeGreaterThan(1)
    })

    it('is asked for elsewhere while its endpoint hangs', async () => {
      await serve(2, firstThen(hangs, respondOk))
      expect(await host.sendRequest('/safe/1')).toMatchObject({ status: 200, isWhole: true })
    })
  })
})
