/**
 * Seen in a test: the caller of a stream got the body of an endpoint's failure, and behind it, as one
 * answer with status 200, the events of the endpoint where the stream went on. The body of a failure is
 * held back until it is known whether the request goes on elsewhere, and was not dropped when it did.
 */
import { describe, expect, it } from 'vitest'
import { FakeEndpoint, streamEvent, type Behaviour } from './harness/FakeEndpoint.js'
import { PLAIN_HEADERS } from './harness/PlainCodec.js'
import { RoutedHost } from './harness/RoutedHost.js'

const WHOLE = streamEvent(1) + streamEvent(2)

describe('a stream whose first endpoint answers with a failure', () => {
  it('has nothing of that answer once it goes on elsewhere', async () => {
    let seen = 0
    const firstFails: Behaviour = (request, response) => {
      seen += 1
      response.writeHead(seen === 1 ? 500 : 200, { [PLAIN_HEADERS.id]: request.headers[PLAIN_HEADERS.id] ?? '' })
      response.end(seen === 1 ? 'a failure' : WHOLE)
    }
    const host = new RoutedHost([new FakeEndpoint('e0', firstFails), new FakeEndpoint('e1', firstFails)])
    await host.start()
    expect(await host.sendRequest('/resumable/1')).toMatchObject({ status: 200, body: WHOLE, isWhole: true })
    expect(seen).toBe(2)
    await host.close()
  })
})
