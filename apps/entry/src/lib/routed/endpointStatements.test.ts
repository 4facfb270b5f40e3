import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, describe, expect, it, vi } from 'vitest'
import { respondOk, FakeEndpoint, rejectNotExecuted, type Behaviour } from './harness/FakeEndpoint.js'
import { LinkedHosts } from './harness/LinkedHosts.js'
import { PLAIN_HEADERS } from './harness/PlainCodec.js'
import { RoutedHost, type CallerOutcome } from './harness/RoutedHost.js'

const REQUESTS = 8

/** Time that the other endpoint takes for an answer in the first round, in milliseconds, so that the requests of a round overlap and both are used. */
const FIRST_ANSWER_MS = 100

describe('limits that endpoints state in their responses', () => {
  let host: RoutedHost | undefined
  afterEach(async () => { await host?.close() })

  /** Adds a header to the responses of a behaviour. */
  const withHeader = (name: string, value: string, behaviour: Behaviour): Behaviour => (request, response, body) => {
    response.setHeader(name, value)
    behaviour(request, response, body)
  }

  /** Sends two rounds of concurrent requests, so that all endpoints are used. Limits that are stated in the first round apply to the second one. */
  async function sendTwoRounds (stating: FakeEndpoint, other: FakeEndpoint): Promise<{ first: CallerOutcome[], second: CallerOutcome[], sentAfterwards: number }> {
    const started = new RoutedHost([stating, other], { budget: { ratio: 1, slack: 100 } })
    host = started
    await started.start()
    const sendRound = async (): Promise<CallerOutcome[]> => await Promise.all(Array.from({ length: REQUESTS }, async () => await started.sendRequest('/safe/a')))
    const { behaviour } = other
    other.behaviour = (request, response, body) => { setTimeout(() => { behaviour(request, response, body) }, FIRST_ANSWER_MS) }
    const first = await sendRound()
    other.behaviour = behaviour
    const received = stating.receivedRequests.length
    expect(received).toBeGreaterThan(0)
    return { first, second: await sendRound(), sentAfterwards: stating.receivedRequests.length - received }
  }

  const statuses = (outcomes: readonly CallerOutcome[]): number[] => outcomes.map(outcome => outcome.status)
  const ALL_SERVED = Array<number>(REQUESTS).fill(200)

  // Guards against hosts that keep sending to a leaving endpoint until the endpoint list shows it, although its responses say so.
  it('sends nothing more to an endpoint that states that it is leaving', async () => {
    const { second, sentAfterwards } = await sendTwoRounds(new FakeEndpoint('e0', withHeader(PLAIN_HEADERS.leaving, '1', respondOk)), new FakeEndpoint('e1', respondOk))
    expect(sentAfterwards).toBe(0)
    expect(statuses(second)).toEqual(ALL_SERVED)
  })

  it('sends nothing more to an endpoint that has asked for a pause', async () => {
    const { first, second, sentAfterwards } = await sendTwoRounds(new FakeEndpoint('e0', withHeader(PLAIN_HEADERS.retryAfter, '30', rejectNotExecuted)), new FakeEndpoint('e1', respondOk))
    expect(sentAfterwards).toBe(0)
    expect([...statuses(first), ...statuses(second)]).toEqual([...ALL_SERVED, ...ALL_SERVED])
  })

  it('keeps to the rate that an endpoint states', async () => {
    const { second, sentAfterwards } = await sendTwoRounds(new FakeEndpoint('e0', withHeader(PLAIN_HEADERS.rateLimit, '0.25', respondOk)), new FakeEndpoint('e1', respondOk))
    expect(sentAfterwards).toBe(0)
    expect(statuses(second)).toEqual(ALL_SERVED)
  })

  // Guards against hosts that go on sending to an endpoint that rejects, although it fails if it has to reject too many.
  it('sends nothing for a second to an endpoint that bears few rejections and has rejected one', async () => {
    const { first, second, sentAfterwards } = await sendTwoRounds(new FakeEndpoint('e0', withHeader(PLAIN_HEADERS.brittle, '1', rejectNotExecuted)), new FakeEndpoint('e1', respondOk))
    expect(sentAfterwards).toBe(0)
    expect([...statuses(first), ...statuses(second)]).toEqual([...ALL_SERVED, ...ALL_SERVED])
  })

  // Guards against hosts that have just started and make brittle endpoints fail, because they have read no answer of them yet.
  it('holds back a host that has read nothing from an endpoint that bears few rejections, once another host has', async () => {
    const endpoint = new FakeEndpoint('e0', withHeader(PLAIN_HEADERS.brittle, '4', respondOk))
    const linked = new LinkedHosts(2, [endpoint])
    await linked.start()
    try {
      const [informed, started] = linked.hosts
      await informed?.sendRequest('/safe/a')
      const known = (): Array<number | undefined> => started?.fleet.endpointsOf('app').map(({ brittleness }) => brittleness.rejectionsPerSecond) ?? []
      await vi.waitFor(() => { expect(known()).toEqual([4]) }, 2000)
      endpoint.behaviour = respondOk
      await started?.sendRequest('/safe/a')
      expect(known()).toEqual([undefined])
      await sleep(500)
      expect(known()).toEqual([undefined])
    } finally {
      await linked.close()
    }
  })

  it('refuses at once, with the time of the first release, if all endpoints have asked for a pause', async () => {
    const [one, other] = ['e0', 'e1'].map(id => new FakeEndpoint(id, withHeader(PLAIN_HEADERS.retryAfter, '1.5', rejectNotExecuted)))
    if (one === undefined || other === undefined) throw new Error('two endpoints are needed')
    const { second, sentAfterwards } = await sendTwoRounds(one, other)
    expect(sentAfterwards).toBe(0)
    expect(statuses(second)).toEqual(Array(REQUESTS).fill(503))
    for (const { body, retryAfter } of second) {
      expect(body).toContain('all-asked-to-pause')
      expect(Number(retryAfter)).toBeGreaterThan(0)
    }
  })
})
