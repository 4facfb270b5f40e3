import { execFile } from 'node:child_process'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { WorkGate } from '@eelgrassmux/daemon/WorkGate'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { GracefulShutdown } from '../GracefulShutdown.js'
import { FakeEndpoint, respondOk } from './harness/FakeEndpoint.js'
import { emptyQuarantine } from './harness/emptyQuarantine.js'
import { PLAIN_HEADERS, PlainCodec } from './harness/PlainCodec.js'
import { TEST_SITE, testRoute } from './harness/testSite.js'
import { RoutedFleet } from './RoutedFleet.js'
import { RoutedServer } from './RoutedServer.js'

const CALLERS = 60

/** Answers after which every caller must have had one. A host that accepts one connection for each round of answers needs several times as many. */
const MAX_ANSWERS = 5 * CALLERS

/**
 * Callers with connections of their own, each of which sends its next request as soon as the last one is answered. Most come when the first ones keep the host busy.
 * This host itself answers that the route leads to no service, and keeps the connection, since an endpoint would accept connections on the same event loop.
 */
const CALLING_PROGRAM = `
  const { Agent, request } = require('node:http')
  const [port, callers, maxAnswers, idHeader] = process.argv.slice(1).map((text, at) => at < 3 ? Number(text) : text)
  const answered = new Set()
  let answers = 0
  let come = 0
  const comeUntil = count => { while (come < count) call(come++, new Agent({ keepAlive: true, maxSockets: 1 })) }
  const call = (caller, agent) => {
    request({ host: '127.0.0.1', port, agent, path: '/safe/x', headers: { host: 'h', [idHeader]: 'r1' } }, response => {
      response.resume().on('end', () => {
        answers += 1
        answered.add(caller)
        if (answers === callers / 2) comeUntil(callers)
        if (answered.size < callers && answers < maxAnswers) return call(caller, agent)
        process.stdout.write(String(callers - answered.size), () => { process.exit() })
      })
    }).end()
  }
  comeUntil(callers / 4)
`

describe('accepting under load', () => {
  let server: RoutedServer
  let endpoint: FakeEndpoint
  let port = 0
  /** Processor time of a step of each request, in milliseconds. */
  let workMs = 10

  beforeEach(async () => {
    workMs = 10
    const telemetry = new Telemetry('test')
    const work = new WorkGate()
    const fleet = new RoutedFleet('n', () => 1, telemetry)
    const workLong = (): void => { for (const end = performance.now() + workMs; performance.now() < end;); }
    server = new RoutedServer({
      fleet,
      codec: new PlainCodec(),
      work,
      stop: new GracefulShutdown(work, { balancerLagMs: 100, graceMs: 1000 }, telemetry),
      telemetry,
      quarantine: emptyQuarantine(),
      regions: new Map(),
      budget: { ratio: 0.2, slack: 20 },
      liveHosts: () => 1,
      desiredVersion: () => 1,
      remainingMsForVersion: () => Number.POSITIVE_INFINITY,
      isSiteUsable: () => {
        workLong()
        return true
      },
      areStoresUsable: () => false,
      storeClockMs: () => undefined,
      withRecentLoad: place => { place() },
      isLagging: () => false
    }, Number.NEGATIVE_INFINITY)
    port = await server.listen('127.0.0.1', 0)
    server.configure(TEST_SITE)
    endpoint = new FakeEndpoint('e0', respondOk)
    fleet.update([await endpoint.listen()])
  })

  afterEach(async () => {
    await server.close()
    endpoint.close()
  })

  /** @returns number of callers that had no answer after {@link MAX_ANSWERS} of all callers */
  async function countUnanswered (): Promise<number> {
    return await new Promise((resolve, reject) => {
      execFile(process.execPath, ['-e', CALLING_PROGRAM, String(port), String(CALLERS), String(MAX_ANSWERS), PLAIN_HEADERS.id], (error, output) => {
        if (error === null) resolve(Number(output))
        else reject(error)
      })
    })
  }

  // Guards against connections that the process does not accept while it serves others on and on.
  it('answers or refuses every caller before the others have had five responses each', async () => {
    server.configure({ ...TEST_SITE, routes: [testRoute('/safe/', { targets: [{ service: 'none', weight: 1 }] })] })
    expect(await countUnanswered()).toBe(0)
  }, 60_000)

  // Guards against a refusal that says "not run" although the request has been sent on, and against callers who wait for their deadline.
  it('refuses what it could not begin in time, and sends none of it to an endpoint', async () => {
    workMs = 15
    const deadlineMs = 200
    const answers = await Promise.all(Array.from({ length: 100 }, async () => {
      const response = await fetch(`http://127.0.0.1:${port}/safe/x`, { headers: { host: 'h', [PLAIN_HEADERS.id]: 'r1', [PLAIN_HEADERS.deadline]: String(deadlineMs) } })
      return { status: response.status, text: await response.text(), retryAfterSeconds: Number(response.headers.get('retry-after') ?? Number.NaN) }
    }))
    const refused = answers.filter(({ status }) => status === 503)
    expect(refused.length).toBeGreaterThan(0)
    for (const { text, retryAfterSeconds } of refused) {
      expect(JSON.parse(text)).toMatchObject({ type: 'urn:eelgrassmux:problem:host-overloaded', run: 'not-run' })
      expect(retryAfterSeconds).toBeLessThanOrEqual(deadlineMs / 1000)
    }
    expect(endpoint.receivedRequests.length).toBeLessThanOrEqual(answers.length - refused.length)
  }, 60_000)
})
