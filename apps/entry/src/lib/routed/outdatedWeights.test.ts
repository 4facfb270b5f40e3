/**
 * Guards against requests that begin on older weights after they may no longer be used: they were sent in time, to an
 * engine at which they then waited longer than estimated.
 */
import { afterEach, describe, expect, it } from 'vitest'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import { FakeEndpoint, streamEvent, type Behaviour } from './harness/FakeEndpoint.js'
import { PLAIN_HEADERS, PlainCodec } from './harness/PlainCodec.js'
import { RoutedHost } from './harness/RoutedHost.js'
import { TEST_SITE } from './harness/testSite.js'
import type { CallerFields } from './RequestCodec.js'

/** Time from the request until requests may no longer begin on the older weights, in milliseconds: less than the silence after which a standby is opened. */
const REMAINING_MS = 600

/** Reads a short prompt from each request. */
class PromptCodec extends PlainCodec {
  override readRequestHeaders (headers: readonly string[]): CallerFields {
    return { ...super.readRequestHeaders(headers), prompt: { model: 'm', promptTokens: 60, outputTokens: 0, parts: [{ id: 'p', tokens: 60 }] } }
  }
}

const SITE = {
  ...TEST_SITE,
  services: [{ type: 'replicated' as const, name: 'app', connectionsPerEndpoint: 0, healthPath: '/', engine: { slots: 4, cacheTokens: 1000, bytesPerToken: 1, linkMbps: 0, models: ['m'] } }]
}

const answer: Behaviour = (request, response) => {
  response.writeHead(200, { 'content-type': 'text/event-stream', [PLAIN_HEADERS.id]: request.headers[PLAIN_HEADERS.id] ?? '' })
  response.end(streamEvent(1))
}

describe('a request on weights that may soon no longer be used', () => {
  let host: RoutedHost | undefined
  let older: FakeEndpoint
  let newer: FakeEndpoint
  let newerListed: ListedEndpoint
  let mayBeginUntil: number

  afterEach(async () => {
    await host?.close()
    older.close()
    newer.close()
  })

  async function startWith (behaviour: Behaviour): Promise<RoutedHost> {
    older = new FakeEndpoint('older', behaviour)
    newer = new FakeEndpoint('newer', answer)
    host = new RoutedHost([older], {
      codec: new PromptCodec(),
      site: SITE,
      models: [{ model: 'm', version: 1 }],
      weights: { desiredVersion: () => 2, remainingMsForVersion: (_model, version) => version < 2 ? Math.max(0, mayBeginUntil - performance.now()) : Number.POSITIVE_INFINITY }
    })
    await host.start()
    newerListed = { ...await newer.listen(), models: [{ model: 'm', version: 2 }] }
    mayBeginUntil = performance.now() + REMAINING_MS
    return host
  }

  /** Lists the endpoint with the newer weights as well, once the other one has the request. */
  async function listNewer (to: RoutedHost): Promise<void> {
    await expect.poll(() => older.receivedRequests.length).toBe(1)
    to.list([...to.fleet.endpointsOf('app').map(({ listed }) => listed), newerListed])
  }

  it('is withdrawn from an engine that has not begun to answer it by then, and served by one with the newer weights', async () => {
    const started = await startWith(() => {})
    const outcome = started.sendRequest('/resumable/1')
    await listNewer(started)
    expect(await outcome).toMatchObject({ status: 200, isWhole: true })
    expect({ withdrawn: older.abortedResponses, served: newer.receivedRequests.length }).toEqual({ withdrawn: 1, served: 1 })
    expect(started.fleet.endpointsOf('app').map(({ health }) => health.isUnreachable(performance.now()))).toEqual([false, false])
  })

  it('stays at an engine that has begun to answer it', async () => {
    const started = await startWith((request, response, body) => {
      response.writeHead(200, { 'content-type': 'text/event-stream', [PLAIN_HEADERS.id]: request.headers[PLAIN_HEADERS.id] ?? '' })
      response.flushHeaders()
      setTimeout(() => { response.end(streamEvent(1)) }, REMAINING_MS + 150)
    })
    const outcome = started.sendRequest('/resumable/1')
    await listNewer(started)
    expect(await outcome).toMatchObject({ status: 200, isWhole: true })
    expect(newer.receivedRequests).toHaveLength(0)
  })
})
