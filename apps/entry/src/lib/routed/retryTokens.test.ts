/**
 * Guards against streams that stay at an unresponsive endpoint until their deadline because a retry was denied once,
 * and against retry tokens that are spent although no endpoint can take the request.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, describe, expect, it } from 'vitest'
import type { RetryKind, RetryTokens, RetryTokenWait } from '../retries/RetryTokens.js'
import { FakeEndpoint, resetConnection, respondOk, streamEvent, type Behaviour } from './harness/FakeEndpoint.js'
import { PLAIN_HEADERS } from './harness/PlainCodec.js'
import { RoutedHost } from './harness/RoutedHost.js'
import { TEST_SITE, testRoute } from './harness/testSite.js'

/** Time after which an endpoint counts as unresponsive, and some checks have been made, in milliseconds. */
const DENIED_MS = 1400

const WHOLE = streamEvent(1) + streamEvent(2)

/** Tokens that the test hands out. */
class TestTokens implements RetryTokens {
  tokens = 0
  spent = 0
  readonly requested: RetryKind[] = []
  readonly #waits = new Set<() => void>()

  recordRequest (): void {}
  isUsedUp (): boolean { return this.tokens === 0 }
  trySpend (): boolean {
    if (this.tokens === 0) return false
    this.tokens -= 1
    this.spent += 1
    return true
  }

  undoSpend (): void {
    this.tokens += 1
    this.spent -= 1
  }

  request (kind: RetryKind, onSettled: () => void): RetryTokenWait {
    this.requested.push(kind)
    this.#waits.add(onSettled)
    return { cancel: () => { this.#waits.delete(onSettled) } }
  }

  describe (): { account: number, pool: number } { return { account: this.tokens, pool: 0 } }

  get waiting (): number { return this.#waits.size }

  /** Answers all waits. */
  settle (tokens: number): void {
    this.tokens += tokens
    const waits = [...this.#waits]
    this.#waits.clear()
    for (const onSettled of waits) onSettled()
  }
}

/** Begins a stream and then sends nothing more. */
const hangsAfterFirst: Behaviour = (request, response) => {
  response.writeHead(200, { [PLAIN_HEADERS.id]: request.headers[PLAIN_HEADERS.id] ?? '' })
  response.write(streamEvent(1))
}

const sendsRest: Behaviour = (request, response) => {
  response.writeHead(200, { [PLAIN_HEADERS.id]: request.headers[PLAIN_HEADERS.id] ?? '' })
  response.end(streamEvent(2))
}

/** Streams bytes for as long as the test wants. */
const drips: Behaviour = (_request, response) => {
  response.writeHead(200)
  const timer = setInterval(() => { response.write('x') }, 50)
  response.on('close', () => { clearInterval(timer) })
}

describe('a request whose retry has no token of the shared budget', () => {
  let host: RoutedHost
  let tokens: TestTokens
  let endpoints: FakeEndpoint[]

  /** The endpoint that receives the first request behaves in one way, all others in another. */
  async function serve (count: number, first: Behaviour, then: Behaviour, connectionsPerEndpoint = 0): Promise<void> {
    tokens = new TestTokens()
    let firstEndpoint: FakeEndpoint | undefined
    endpoints = Array.from({ length: count }, (_, number) => {
      const endpoint: FakeEndpoint = new FakeEndpoint(`e${number}`, (request, response, body) => {
        firstEndpoint ??= endpoint
        ;(endpoint === firstEndpoint ? first : then)(request, response, body)
      })
      return endpoint
    })
    const services = TEST_SITE.services.map(service => ({ ...service, connectionsPerEndpoint }))
    const routes = [testRoute('/drip/', { kind: 'unsafe', timeoutMs: 8000 }), ...TEST_SITE.routes]
    host = new RoutedHost(endpoints, { sharedRetryTokens: tokens, site: { ...TEST_SITE, services: services as typeof TEST_SITE.services, routes } })
    await host.start()
  }

  function countReceived (): number {
    return endpoints.reduce((sum, endpoint) => sum + endpoint.receivedRequests.length, 0)
  }

  afterEach(async () => { await host.close() })

  /** Returns the numbers of requests that are at the endpoints or being sent to them, in ascending order. */
  const requestsAtEndpoints = (): number[] => host.fleet.endpointsOf('app').map(({ inFlight }) => inFlight).sort()

  describe('a stream whose endpoint has become unresponsive', () => {
    it('continues at another endpoint at once when a token arrives', async () => {
      await serve(2, hangsAfterFirst, sendsRest)
      const outcome = host.sendRequest('/resumable/1')
      await sleep(DENIED_MS)
      expect(countReceived()).toBe(1)
      expect(tokens.requested).toEqual(['begun'])
      tokens.settle(1)
      expect(requestsAtEndpoints()).toEqual([1, 1])
      expect(await outcome).toMatchObject({ body: WHOLE, isWhole: true })
      expect(tokens.spent).toBe(1)
    })

    it('keeps trying if the token goes to another request', async () => {
      await serve(2, hangsAfterFirst, sendsRest)
      const outcome = host.sendRequest('/resumable/1')
      await sleep(DENIED_MS)
      tokens.settle(0)
      expect(tokens.waiting).toBe(1)
      tokens.settle(1)
      expect(await outcome).toMatchObject({ body: WHOLE, isWhole: true })
    })

    it('uses a token of the host\'s own account with the next check', async () => {
      await serve(2, hangsAfterFirst, sendsRest)
      const outcome = host.sendRequest('/resumable/1')
      await sleep(DENIED_MS)
      tokens.tokens = 1
      expect(await outcome).toMatchObject({ body: WHOLE, isWhole: true })
      expect(tokens.waiting).toBe(0)
    })

    it('neither asks for a token nor spends one if there is no other endpoint', async () => {
      await serve(1, hangsAfterFirst, sendsRest)
      void host.sendRequest('/resumable/1')
      await sleep(DENIED_MS)
      expect(tokens.requested).toEqual([])
      tokens.settle(1)
      await sleep(300)
      expect(tokens.spent).toBe(0)
    })

    it('spends no token while all connections to the other endpoint are in use', async () => {
      await serve(2, hangsAfterFirst, (request, response, body) => { (request.url === '/drip/1' ? drips : sendsRest)(request, response, body) }, 1)
      const outcome = host.sendRequest('/resumable/1')
      await sleep(100)
      // A host has two connections to each endpoint, so these use up all that are left.
      for (let sent = 0; sent < 3; sent += 1) void host.sendRequest('/drip/1')
      await sleep(DENIED_MS)
      tokens.settle(1)
      await sleep(300)
      expect(tokens).toMatchObject({ tokens: 1, spent: 0 })
      for (const endpoint of endpoints) endpoint.endResponses()
      await outcome
    })

    it('gives up the wait when the caller has everything', async () => {
      await serve(2, (request, response, body) => {
        hangsAfterFirst(request, response, body)
        setTimeout(() => { response.end(streamEvent(2)) }, DENIED_MS)
      }, sendsRest)
      expect(await host.sendRequest('/resumable/1')).toMatchObject({ body: WHOLE, isWhole: true })
      expect(tokens.requested).toEqual(['begun'])
      expect(tokens.waiting).toBe(0)
    })
  })

  describe('a stream whose connection was reset', () => {
    // Guards against a token that arrives for the standby of an attempt that no longer exists.
    it('continues at once although it had asked for a token for a standby', async () => {
      let reset = (): void => {}
      await serve(2, (request, response, body) => {
        hangsAfterFirst(request, response, body)
        reset = () => { resetConnection(request, response, body) }
      }, sendsRest)
      const outcome = host.sendRequest('/resumable/1')
      await sleep(DENIED_MS)
      reset()
      await expect.poll(requestsAtEndpoints).toEqual([0, 0])
      tokens.settle(1)
      expect(requestsAtEndpoints()).toEqual([0, 1])
      expect(await outcome).toMatchObject({ body: WHOLE, isWhole: true })
      expect(tokens.requested).toEqual(['begun'])
    })

    it('continues at another endpoint at once when a token arrives', async () => {
      await serve(2, (request, response, body) => {
        hangsAfterFirst(request, response, body)
        setTimeout(() => { resetConnection(request, response, body) }, 30)
      }, sendsRest)
      const outcome = host.sendRequest('/resumable/1')
      await expect.poll(() => tokens.requested).toEqual(['begun'])
      expect(requestsAtEndpoints()).toEqual([0, 0])
      tokens.settle(1)
      expect(requestsAtEndpoints()).toEqual([0, 1])
      expect(await outcome).toMatchObject({ body: WHOLE, isWhole: true })
    })
  })

  describe('a request whose caller has nothing yet', () => {
    it('is retried if the leader\'s answer brings a token', async () => {
      await serve(2, resetConnection, respondOk)
      const outcome = host.sendRequest('/safe/1')
      await expect.poll(() => tokens.requested).toEqual(['other'])
      tokens.settle(1)
      expect(await outcome).toMatchObject({ status: 200, isWhole: true })
    })

    it('is refused after one answer without a token', async () => {
      await serve(2, resetConnection, respondOk)
      const outcome = host.sendRequest('/safe/1')
      await expect.poll(() => tokens.waiting).toBe(1)
      tokens.settle(0)
      expect(await outcome).toMatchObject({ status: 502 })
      expect(tokens.requested).toEqual(['other'])
      expect(countReceived()).toBe(1)
    })

    it('gets its endpoint\'s own answer if no token comes for a failure', async () => {
      await serve(2, (request, response) => {
        response.writeHead(500, { [PLAIN_HEADERS.id]: request.headers[PLAIN_HEADERS.id] ?? '' })
        response.end('no')
      }, respondOk)
      const outcome = host.sendRequest('/safe/1')
      await expect.poll(() => tokens.waiting).toBe(1)
      tokens.settle(0)
      expect(await outcome).toMatchObject({ status: 500, body: 'no' })
    })
  })
})
