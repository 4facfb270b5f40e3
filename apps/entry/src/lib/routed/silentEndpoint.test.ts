/**
 * Seen: a stream was broken off in the middle because its endpoint had been silent for a second,
 * although the endpoint went on a moment later. How it came about: the attempt was given up
 * before it was known whether the stream may run elsewhere. With the budget for repeats used
 * up it may not, and then nothing was left of it. A silent endpoint alone is no reason to end an
 * answer.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, describe, expect, it } from 'vitest'
import type { RetryBudgetTerms } from '@eelgrassmux/routing/attempts/RetryAllowance'
import { respondOk, FakeEndpoint, streamEvent, type Behaviour } from './harness/FakeEndpoint.js'
import { PLAIN_HEADERS } from './harness/PlainCodec.js'
import { RoutedHost } from './harness/RoutedHost.js'

/** Longer than the silence after which a stream goes on elsewhere where it may, in milliseconds. */
const SILENT_MS = 2000

const WHOLE = streamEvent(1) + streamEvent(2)

/** Sends the second event after a silence. */
const pauses: Behaviour = (request, response) => {
  response.writeHead(200, { [PLAIN_HEADERS.id]: request.headers[PLAIN_HEADERS.id] ?? '' })
  response.write(streamEvent(1))
  setTimeout(() => { response.end(streamEvent(2)) }, SILENT_MS)
}

describe('a safe request whose endpoint has fallen silent', () => {
  it('goes on elsewhere long before its time is over', async () => {
    let seen = 0
    /** The first one to get the request never answers. */
    const firstHangs: Behaviour = (request, response, body) => {
      seen += 1
      if (seen > 1) respondOk(request, response, body)
    }
    const host = new RoutedHost([new FakeEndpoint('one', firstHangs), new FakeEndpoint('other', firstHangs)], { budget: { ratio: 0.2, slack: 20 } })
    await host.start()
    // After its route's time it would have got a 504.
    expect(await host.sendRequest('/safe/1')).toMatchObject({ status: 200, isWhole: true })
    expect(seen).toBe(2)
    await host.close()
  })
})

describe('a request whose attempt has failed', () => {
  const RESET_MS = 700
  const PLACING_MS = 400
  const ANSWER_MS = 500
  const ENDPOINTS = ['e0', 'e1', 'e2']
  const OTHER_REQUESTS = 12

  // Guards against a second placement, beside the one that waits, when the endpoint falls silent after the failure.
  it('is placed once more, though its endpoint falls silent before it is', async () => {
    let sends = 0
    const behave: Behaviour = (request, response, body) => {
      if (request.url === '/unsafe/hangs') return
      sends += 1
      if (sends === 1) setTimeout(() => { request.socket.resetAndDestroy() }, RESET_MS)
      else setTimeout(() => { respondOk(request, response, body) }, ANSWER_MS)
    }
    const host = new RoutedHost(ENDPOINTS.map(id => new FakeEndpoint(id, behave)), {
      budget: { ratio: 1, slack: 100 },
      beforePlacing: place => { if (sends === 0) place(); else setTimeout(place, PLACING_MS) }
    })
    await host.start()
    // Each endpoint has other work that it never answers.
    for (let asked = 0; asked < OTHER_REQUESTS; asked += 1) void host.sendRequest('/unsafe/hangs')
    await sleep(50)
    expect(await host.sendRequest('/safe/resets')).toMatchObject({ status: 200, isWhole: true })
    expect(sends).toBe(2)
    await host.close()
  })
})

describe('a stream whose endpoint has fallen silent', () => {
  let host: RoutedHost
  let endpoints: FakeEndpoint[]

  async function serve (count: number, budget: RetryBudgetTerms): Promise<void> {
    endpoints = Array.from({ length: count }, (_, number) => new FakeEndpoint(`e${number}`, pauses))
    host = new RoutedHost(endpoints, { budget })
    await host.start()
  }

  function runs (): number {
    return endpoints.reduce((sum, { receivedRequests: seen }) => sum + seen.length, 0)
  }

  afterEach(async () => { await host.close() })

  it('waits for it if the budget for repeats is used up', async () => {
    await serve(3, { ratio: 0, slack: 0 })
    // Each host starts with one repeat.
    await host.sendRequest('/resumable/1')
    const before = runs()
    expect(await host.sendRequest('/resumable/1')).toMatchObject({ body: WHOLE, isWhole: true })
    expect(runs() - before).toBe(1)
  })

  it('waits for it if there is no other endpoint', async () => {
    await serve(1, { ratio: 0.2, slack: 20 })
    expect(await host.sendRequest('/resumable/1')).toMatchObject({ body: WHOLE, isWhole: true })
    expect(runs()).toBe(1)
  })

  it('goes on elsewhere if it may', async () => {
    await serve(2, { ratio: 0.2, slack: 20 })
    const { isWhole } = await host.sendRequest('/resumable/1')
    expect(isWhole).toBe(true)
    expect(runs()).toBe(2)
  })
})
