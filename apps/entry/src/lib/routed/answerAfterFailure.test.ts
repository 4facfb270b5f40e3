/**
 * Guards against a stream that begins with the body of a failure response. The body of a failure is buffered
 * until it is known whether the request is retried. If it was not discarded on a retry, the caller received it,
 * followed by the events of the second endpoint, as one response with status 200.
 */
import { describe, expect, it } from 'vitest'
import { FakeEndpoint, streamEvent, type Behaviour } from './harness/FakeEndpoint.js'
import { PLAIN_HEADERS } from './harness/PlainCodec.js'
import { RoutedHost } from './harness/RoutedHost.js'
import { TEST_SITE } from './harness/testSite.js'

const WHOLE = streamEvent(1) + streamEvent(2)

describe('a stream that is continued', () => {
  // Guards against a large failure response that is passed on as the rest of the stream.
  it('contains nothing of a failure that is too large to be held back', async () => {
    let received = 0
    const behaviour: Behaviour = (request, response) => {
      received += 1
      const id = { [PLAIN_HEADERS.id]: request.headers[PLAIN_HEADERS.id] ?? '' }
      if (received === 1) {
        response.writeHead(200, id)
        response.write(streamEvent(1))
        setTimeout(() => { request.socket.resetAndDestroy() }, 20)
      } else if (received === 2) {
        response.writeHead(500, id)
        response.end('x'.repeat(300 * 1024))
      } else {
        response.writeHead(200, id)
        response.end(streamEvent(2))
      }
    }
    const site = { ...TEST_SITE, routes: TEST_SITE.routes.map(route => ({ ...route, attempts: 3 })) }
    const host = new RoutedHost([0, 1, 2].map(number => new FakeEndpoint(`e${number}`, behaviour)), { site, budget: { ratio: 100, slack: 200 } })
    await host.start()
    expect((await host.sendRequest('/resumable/1')).body).toBe(WHOLE)
    await host.close()
  })
})

describe('a stream whose first endpoint responds with a failure', () => {
  it('contains nothing of that response after a retry at another endpoint', async () => {
    let received = 0
    const firstFails: Behaviour = (request, response) => {
      received += 1
      response.writeHead(received === 1 ? 500 : 200, { [PLAIN_HEADERS.id]: request.headers[PLAIN_HEADERS.id] ?? '' })
      response.end(received === 1 ? 'a failure' : WHOLE)
    }
    const host = new RoutedHost([new FakeEndpoint('e0', firstFails), new FakeEndpoint('e1', firstFails)])
    await host.start()
    expect(await host.sendRequest('/resumable/1')).toMatchObject({ status: 200, body: WHOLE, isWhole: true })
    expect(received).toBe(2)
    await host.close()
  })
})
