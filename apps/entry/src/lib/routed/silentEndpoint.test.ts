/**
 * Seen: a stream was broken off in the middle because its endpoint had been silent for a second,
 * although the endpoint went on a moment later. How it came about: the attempt was given up
 * before it was known whether the stream may run elsewhere. With the budget for repeats used
 * up it may not, and then nothing was left of it. A silent endpoint alone is no reason to end an
 * answer.
 */
import { request as httpRequest } from 'node:http'
import { afterEach, describe, expect, it } from 'vitest'
import { WorkGate } from '@eelgrassmux/daemon/WorkGate'
import type { RetryBudgetTerms } from '@eelgrassmux/routing/attempts/RetryAllowance'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { PlannedStop } from '../PlannedStop.js'
import { EndpointStandin, streamEvent, type Behaviour } from './harness/EndpointStandin.js'
import { PLAIN_HEADERS, PlainCodec } from './harness/PlainCodec.js'
import { TEST_SITE } from './harness/testSite.js'
import { RoutedFleet } from './RoutedFleet.js'
import { RoutedServer } from './RoutedServer.js'

/** Longer than the silence after which a stream goes on elsewhere where it may, in milliseconds. */
const SILENT_MS = 2000

/** Age of a host that does not let requests wait for the site any more, in milliseconds. */
const LONG_AGO_MS = 60_000

const WHOLE = streamEvent(1) + streamEvent(2)

/** Sends the second event after a silence. */
const pauses: Behaviour = (request, response) => {
  response.writeHead(200, { [PLAIN_HEADERS.id]: request.headers[PLAIN_HEADERS.id] ?? '' })
  response.write(streamEvent(1))
  setTimeout(() => { response.end(streamEvent(2)) }, SILENT_MS)
}

describe('a stream whose endpoint has fallen silent', () => {
  let server: RoutedServer
  let stop: PlannedStop
  let endpoints: EndpointStandin[] = []

  async function serve (count: number, budget: RetryBudgetTerms): Promise<number> {
    const telemetry = new Telemetry('test')
    const work = new WorkGate()
    const fleet = new RoutedFleet('n', () => 1, telemetry)
    stop = new PlannedStop(work, { balancerLagMs: 100, graceMs: 60_000 }, telemetry)
    server = new RoutedServer({
      fleet, codec: new PlainCodec(), work, stop, telemetry, budget, liveHosts: () => 1, desiredVersion: () => 1, leftMsOn: () => Number.POSITIVE_INFINITY, mayAct: () => true, storesUsable: () => false, storeClockMs: () => undefined, isLagging: () => false
    }, performance.now() - LONG_AGO_MS)
    const port = await server.listen('127.0.0.1', 0)
    server.configure(TEST_SITE)
    endpoints = Array.from({ length: count }, (_, number) => new EndpointStandin(`e${number}`, pauses))
    fleet.update(await Promise.all(endpoints.map(async endpoint => await endpoint.listen())))
    return port
  }

  async function ask (port: number): Promise<{ readonly body: string, readonly isWhole: boolean }> {
    return await new Promise((resolve, reject) => {
      const request = httpRequest({ host: '127.0.0.1', port, path: '/resumable/1', headers: { host: 'h', [PLAIN_HEADERS.id]: 'r1' } }, response => {
        let body = ''
        response.on('data', chunk => { body += String(chunk) })
        response.on('close', () => { resolve({ body, isWhole: response.complete }) })
      })
      request.on('error', reject)
      request.end()
    })
  }

  function runs (): number {
    return endpoints.reduce((sum, { seen }) => sum + seen.length, 0)
  }

  afterEach(async () => {
    await server.close()
    for (const endpoint of endpoints) endpoint.close()
  })

  it('waits for it if the budget for repeats is used up', async () => {
    const port = await serve(3, { ratio: 0, slack: 0 })
    // Each host starts with one repeat.
    await ask(port)
    const before = runs()
    expect(await ask(port)).toEqual({ body: WHOLE, isWhole: true })
    expect(runs() - before).toBe(1)
  })

  it('waits for it if there is no other endpoint', async () => {
    const port = await serve(1, { ratio: 0.2, slack: 20 })
    expect(await ask(port)).toEqual({ body: WHOLE, isWhole: true })
    expect(runs()).toBe(1)
  })

  it('goes on elsewhere if it may', async () => {
    const port = await serve(2, { ratio: 0.2, slack: 20 })
    const { isWhole } = await ask(port)
    expect(isWhole).toBe(true)
    expect(runs()).toBe(2)
  })
})
