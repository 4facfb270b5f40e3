/**
 * Guards against callers that are refused by a host that has lost its links to all endpoints, while the other hosts
 * reach them. A refused or failed request counts as a failed first attempt, so the host has to get it served.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, describe, expect, it } from 'vitest'
import { FakeEndpoint, respondOk, streamEvent, type Behaviour } from '../routed/harness/FakeEndpoint.js'
import { LinkCut, type CutKind } from '../routed/harness/LinkCut.js'
import { LinkedHosts } from '../routed/harness/LinkedHosts.js'
import { PLAIN_HEADERS } from '../routed/harness/PlainCodec.js'
import type { CallerOutcome, RoutedHost } from '../routed/harness/RoutedHost.js'

/** Time after the start of a cut from which requests have to be served as before, in milliseconds. */
const NOTICE_MS = 3000

const REQUEST_INTERVAL_MS = 20

/** Answers calls with a summary, and other requests with a stream. */
const respond: Behaviour = (request, response, body) => {
  const isStream = /^.(stream|resumable)/.test(request.url ?? '')
  if (!isStream) return respondOk(request, response, body)
  response.writeHead(200, { 'content-type': 'text/event-stream', [PLAIN_HEADERS.id]: request.headers[PLAIN_HEADERS.id] ?? '' })
  response.end(streamEvent(1) + streamEvent(2))
}

const ROUTES = ['/safe/1', '/unsafe/1', '/stream/1', '/resumable/1']

describe('a host that is cut off from all endpoints', () => {
  let linked: LinkedHosts
  let endpoints: FakeEndpoint[]
  let cuts: LinkCut[] = []

  async function start (count: number): Promise<readonly RoutedHost[]> {
    endpoints = Array.from({ length: 4 }, (_, number) => new FakeEndpoint(`e${number}`, respond))
    linked = new LinkedHosts(count, endpoints)
    await linked.start()
    return linked.hosts
  }

  async function cut (hosts: readonly RoutedHost[], kind: CutKind): Promise<void> {
    cuts = await Promise.all(hosts.map(async ({ fleet }) => await LinkCut.between(fleet, kind)))
  }

  /** Sends requests to all hosts for a while, and returns the outcomes of each host. */
  async function sendFor (durationMs: number, hosts: readonly RoutedHost[]): Promise<CallerOutcome[][]> {
    const outcomes: Array<Array<Promise<CallerOutcome>>> = hosts.map(() => [])
    const endsAt = performance.now() + durationMs
    for (let number = 0; performance.now() < endsAt; number += 1) {
      hosts.forEach((host, at) => { outcomes[at]?.push(host.sendRequest(ROUTES[number % ROUTES.length] ?? '')) })
      await sleep(REQUEST_INTERVAL_MS)
    }
    return await Promise.all(outcomes.map(async ofHost => await Promise.all(ofHost)))
  }

  const servedShare = (outcomes: readonly CallerOutcome[]): number => outcomes.filter(({ status, isWhole }) => status === 200 && isWhole).length / outcomes.length

  afterEach(async () => {
    for (const each of cuts.splice(0)) each.heal()
    await linked.close()
  })

  describe.each<CutKind>(['refuses', 'resets', 'hangs'])('by a link that %s', kind => {
    it.each([['one host', 1, 2], ['two hosts of three', 2, 3]])('gets its callers served three seconds after the cut (%s)', async (_text, cutOff, count) => {
      const hosts = await start(count)
      await sendFor(300, hosts)
      await cut(hosts.slice(0, cutOff), kind)
      await sendFor(NOTICE_MS, hosts)
      const outcomes = await sendFor(500, hosts)
      for (const ofHost of outcomes) expect(servedShare(ofHost)).toBeGreaterThan(0.95)
    })
  })
})
