/**
 * Guards against streams that are aborted because their endpoint was silent for a second, although it
 * continues a moment later. The attempt was cancelled before it was known whether the stream may be
 * resumed elsewhere, which it may not when the retry budget is used up. Silence alone is no reason to
 * end a response.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, describe, expect, it } from 'vitest'
import type { RetryBudgetTerms } from '@eelgrassmux/routing/attempts/RetryAllowance'
import { respondOk, FakeEndpoint, streamEvent, type Behaviour } from './harness/FakeEndpoint.js'
import { PLAIN_HEADERS } from './harness/PlainCodec.js'
import { RoutedHost } from './harness/RoutedHost.js'

/** Pause in a stream, in milliseconds; longer than the silence after which failover begins. */
const SILENT_MS = 2000

const WHOLE = streamEvent(1) + streamEvent(2)

/** Sends the second event after a pause. */
const pauses: Behaviour = (request, response) => {
  response.writeHead(200, { [PLAIN_HEADERS.id]: request.headers[PLAIN_HEADERS.id] ?? '' })
  response.write(streamEvent(1))
  setTimeout(() => { response.end(streamEvent(2)) }, SILENT_MS)
}

describe('a safe request whose endpoint stops responding', () => {
  it('is sent to another endpoint long before its deadline', async () => {
    let received = 0
    /** The first endpoint that receives the request never responds. */
    const firstHangs: Behaviour = (request, response, body) => {
      received += 1
      if (received > 1) respondOk(request, response, body)
    }
    const host = new RoutedHost([new FakeEndpoint('one', firstHangs), new FakeEndpoint('other', firstHangs)], { budget: { ratio: 0.2, slack: 20 } })
    await host.start()
    // Without failover, the route's timeout would lead to a 504.
    expect(await host.sendRequest('/safe/1')).toMatchObject({ status: 200, isWhole: true })
    expect(received).toBe(2)
    await host.close()
  })
})

describe('a request whose attempt has failed', () => {
  const RESET_MS = 700
  const PLACING_MS = 400
  const ANSWER_MS = 500
  const ENDPOINTS = ['e0', 'e1', 'e2']
  const OTHER_REQUESTS = 12

  // Guards against a second placement while the first one waits, when the endpoint stops responding after the failure.
  it('is placed only once more, although its endpoint stops responding before that', async () => {
    let sends = 0
    const behave: Behaviour = (request, response, body) => {
      if (request.url === '/unsafe/hangs') return
      sends += 1
      if (sends === 1) setTimeout(() => { request.socket.resetAndDestroy() }, RESET_MS)
      else setTimeout(() => { respondOk(request, response, body) }, ANSWER_MS)
    }
    const host = new RoutedHost(ENDPOINTS.map(id => new FakeEndpoint(id, behave)), {
      budget: { ratio: 1, slack: 100 },
      withRecentLoad: place => { if (sends === 0) place(); else setTimeout(place, PLACING_MS) }
    })
    await host.start()
    // Each endpoint has other requests, to which it never responds.
    for (let asked = 0; asked < OTHER_REQUESTS; asked += 1) void host.sendRequest('/unsafe/hangs')
    await sleep(50)
    expect(await host.sendRequest('/safe/resets')).toMatchObject({ status: 200, isWhole: true })
    expect(sends).toBe(2)
    await host.close()
  })
})

describe('a stream whose endpoint stops responding', () => {
  let host: RoutedHost
  let endpoints: FakeEndpoint[]

  async function serve (count: number, budget: RetryBudgetTerms): Promise<void> {
    endpoints = Array.from({ length: count }, (_, number) => new FakeEndpoint(`e${number}`, pauses))
    host = new RoutedHost(endpoints, { budget })
    await host.start()
  }

  function countReceived (): number {
    return endpoints.reduce((sum, { receivedRequests }) => sum + receivedRequests.length, 0)
  }

  afterEach(async () => { await host.close() })

  it('waits for it if the retry budget is used up', async () => {
    await serve(3, { ratio: 0, slack: 0 })
    // Each host starts with a budget of one retry.
    await host.sendRequest('/resumable/1')
    const before = countReceived()
    expect(await host.sendRequest('/resumable/1')).toMatchObject({ body: WHOLE, isWhole: true })
    expect(countReceived() - before).toBe(1)
  })

  it('waits for it if there is no other endpoint', async () => {
    await serve(1, { ratio: 0.2, slack: 20 })
    expect(await host.sendRequest('/resumable/1')).toMatchObject({ body: WHOLE, isWhole: true })
    expect(countReceived()).toBe(1)
  })

  it('continues at another endpoint if that is allowed', async () => {
    await serve(2, { ratio: 0.2, slack: 20 })
    const { isWhole } = await host.sendRequest('/resumable/1')
    expect(isWhole).toBe(true)
    expect(countReceived()).toBe(2)
  })
})
