/**
 * Guards against a stream that begins with the body of a failure response. The body of a failure is buffered
 * until it is known whether the request is retried. If it was not discarded on a retry, the caller received it,
 * followed by the events of the second endpoint, as one response with status 200.
 */
import { describe, expect, it } from 'vitest'
import { FakeEndpoint, streamEvent, type Behaviour } from './harness/FakeEndpoint.js'
import { PLAIN_HEADERS } from './harness/PlainCodec.js'
import { RoutedHost } from './harness/RoutedHost.js'

const WHOLE = streamEvent(1) + streamEvent(2)

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
