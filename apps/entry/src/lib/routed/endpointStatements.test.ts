import { afterEach, describe, expect, it } from 'vitest'
import { respondOk, FakeEndpoint, rejectNotExecuted, type Behaviour } from './harness/FakeEndpoint.js'
import { PLAIN_HEADERS } from './harness/PlainCodec.js'
import { RoutedHost, type CallerOutcome } from './harness/RoutedHost.js'

const ASKED = 8

describe('what endpoints ask of hosts in their answers', () => {
  let host: RoutedHost | undefined
  afterEach(async () => { await host?.close() })

  /** Behaves as given, with one header more. */
  const withHeader = (name: string, value: string, behaviour: Behaviour): Behaviour => (request, response, body) => {
    response.setHeader(name, value)
    behaviour(request, response, body)
  }

  /** Asks twice, many at a time, so that all endpoints are used; what they say in the first answers counts in the second round. */
  async function askTwice (asking: FakeEndpoint, other: FakeEndpoint): Promise<{ first: CallerOutcome[], second: CallerOutcome[], sentAfterwards: number }> {
    const started = new RoutedHost([asking, other], { budget: { ratio: 1, slack: 100 } })
    host = started
    await started.start()
    const askAll = async (): Promise<CallerOutcome[]> => await Promise.all(Array.from({ length: ASKED }, async () => await started.sendRequest('/safe/a')))
    const first = await askAll()
    const seen = asking.receivedRequests.length
    expect(seen).toBeGreaterThan(0)
    return { first, second: await askAll(), sentAfterwards: asking.receivedRequests.length - seen }
  }

  const statuses = (outcomes: readonly CallerOutcome[]): number[] => outcomes.map(outcome => outcome.status)
  const ALL_SERVED = Array<number>(ASKED).fill(200)

  // Guards against hosts that wait for the list to say that an endpoint leaves although its answers say so.
  it('sends nothing more to an endpoint that says it is leaving', async () => {
    const { second, sentAfterwards } = await askTwice(new FakeEndpoint('e0', withHeader(PLAIN_HEADERS.leaving, '1', respondOk)), new FakeEndpoint('e1', respondOk))
    expect(sentAfterwards).toBe(0)
    expect(statuses(second)).toEqual(ALL_SERVED)
  })

  it('sends nothing more to an endpoint that has asked for a pause', async () => {
    const { first, second, sentAfterwards } = await askTwice(new FakeEndpoint('e0', withHeader(PLAIN_HEADERS.retryAfter, '30', rejectNotExecuted)), new FakeEndpoint('e1', respondOk))
    expect(sentAfterwards).toBe(0)
    expect([...statuses(first), ...statuses(second)]).toEqual([...ALL_SERVED, ...ALL_SERVED])
  })

  it('keeps to the rate that an endpoint names', async () => {
    const { second, sentAfterwards } = await askTwice(new FakeEndpoint('e0', withHeader(PLAIN_HEADERS.rateLimit, '0.25', respondOk)), new FakeEndpoint('e1', respondOk))
    expect(sentAfterwards).toBe(0)
    expect(statuses(second)).toEqual(ALL_SERVED)
  })

  it('refuses at once, with the time of the first release, where all endpoints want nothing', async () => {
    const [one, other] = ['e0', 'e1'].map(id => new FakeEndpoint(id, withHeader(PLAIN_HEADERS.retryAfter, '1.5', rejectNotExecuted)))
    if (one === undefined || other === undefined) throw new Error('two endpoints are needed')
    const { second, sentAfterwards } = await askTwice(one, other)
    expect(sentAfterwards).toBe(0)
    expect(statuses(second)).toEqual(Array(ASKED).fill(503))
    for (const { body, retryAfter } of second) {
      expect(body).toContain('all-asked-to-pause')
      expect(Number(retryAfter)).toBeGreaterThan(0)
    }
  })
})
