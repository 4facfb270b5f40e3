import { afterEach, describe, expect, it } from 'vitest'
import type { ViewLagReport } from '@eelgrassmux/view/ViewLag'
import type { CallerExchange } from './CallerExchange.js'
import { LaggingViewQueue } from './LaggingViewQueue.js'
import { respondOk, FakeEndpoint } from './harness/FakeEndpoint.js'
import { PLAIN_HEADERS } from './harness/PlainCodec.js'
import { RoutedHost } from './harness/RoutedHost.js'
import { TEST_SITE, testRoute } from './harness/testSite.js'

const CURRENT: ViewLagReport = { newestView: 5, viewsBehind: 0, behindMs: 0, statedBy: '', confirmedMs: 300 }
const BEHIND: ViewLagReport = { ...CURRENT, newestView: 6, viewsBehind: 1, behindMs: 100, statedBy: 'c' }
const UNCONFIRMED: ViewLagReport = { ...CURRENT, confirmedMs: 2500 }

/** A site with a route and a key that {@link TEST_SITE} lacks. */
const NEWER_SITE = {
  ...TEST_SITE, version: 2, routes: [...TEST_SITE.routes, testRoute('/added/', {})], customers: [{ name: 'ward', keys: ['right', 'added'], isIsolated: false }]
}

describe('a host that does not have the newest site', () => {
  let host: RoutedHost
  let lag: ViewLagReport

  async function start (first: ViewLagReport): Promise<void> {
    lag = first
    host = new RoutedHost([new FakeEndpoint('e0', respondOk)], { viewLag: () => lag })
    await host.start()
  }

  function catchUp (): void {
    lag = CURRENT
    host.server.configure(NEWER_SITE)
    host.fleet.configure(NEWER_SITE)
    host.server.releaseWaiting()
  }

  afterEach(async () => { await host.close() })

  // Guards against a 404 for a route that has been acknowledged, from a host that knows that its site is an old one.
  it('waits for a newer site that it knows of before it decides about a path', async () => {
    await start(BEHIND)
    const answer = host.sendRequest('/added/1')
    setTimeout(catchUp, 50)
    expect(await answer).toMatchObject({ status: 200 })
  })

  // Guards against a 401 for a key that has been acknowledged.
  it('waits for a newer site that it knows of before it decides about a key', async () => {
    await start(BEHIND)
    const answer = host.sendRequest('/private/1', () => {}, { [PLAIN_HEADERS.key]: 'added' })
    setTimeout(catchUp, 50)
    expect(await answer).toMatchObject({ status: 200 })
  })

  it('sends callers to another host if the newer site does not arrive, or if nobody confirms that there is none', async () => {
    await start(BEHIND)
    expect(await host.sendRequest('/added/1')).toMatchObject({ status: 503, retryAfter: expect.any(String) })
    lag = UNCONFIRMED
    expect(await host.sendRequest('/added/1')).toMatchObject({ status: 503, retryAfter: expect.any(String) })
    expect(await host.sendRequest('/safe/1')).toMatchObject({ status: 200 })
  })

  it('refuses at once what the site does not allow while it is known to be the newest, and after it has caught up', async () => {
    await start(CURRENT)
    expect(await host.sendRequest('/added/1')).toMatchObject({ status: 404 })
    lag = BEHIND
    const answer = host.sendRequest('/never/1')
    setTimeout(catchUp, 50)
    expect(await answer).toMatchObject({ status: 404 })
  })
})

describe('LaggingViewQueue', () => {
  it('holds a limited number of requests, each for a limited time since its arrival', () => {
    const queue = new LaggingViewQueue()
    const exchange = { onCallerLeft: () => {} } as unknown as CallerExchange
    const enqueue = (waitedMs: number): boolean => queue.enqueue(exchange, undefined, waitedMs, () => {})
    expect(enqueue(1000)).toBe(false)
    expect(Array.from({ length: 200 }, () => enqueue(0))).not.toContain(false)
    expect(enqueue(0)).toBe(false)
    queue.release()
    expect(queue.length).toBe(0)
  })
})
