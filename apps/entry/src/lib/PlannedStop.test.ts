/**
 * Seen: when all entry hosts were stopped in turn under load, streams broke off in the
 * middle, each at the moment at which the platform killed a host, eight seconds after its
 * SIGTERM. The host had taken them up to five seconds after the signal.
 *
 * How it came about: half of the hosts were stopping at once, so the balancer sent new
 * connections to all of them again. The quiet for which a stop waits never came, and until
 * then everything was taken, whatever time it needed.
 *
 * Cause: work was admitted without regard to how long the process may live. Proved by the
 * first test: with requests coming all the time, a stream that outlasts the grace period is
 * passed on and cut.
 */
import { request as httpRequest } from 'node:http'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { WorkGate } from '@eelgrassmux/daemon/WorkGate'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { PlannedStop } from './PlannedStop.js'
import { answerOk, EndpointStandin, streamEvent, type Behaviour } from './routed/harness/EndpointStandin.js'
import { PLAIN_HEADERS, PlainCodec } from './routed/harness/PlainCodec.js'
import { TEST_SITE, testRoute } from './routed/harness/testSite.js'
import { RoutedFleet } from './routed/RoutedFleet.js'
import { RoutedServer } from './routed/RoutedServer.js'

interface Outcome {
  readonly status: number
  readonly isWhole: boolean
}

/** Age of a host that does not let requests wait for the site any more, in milliseconds. */
const LONG_AGO_MS = 60_000

/** Streams begin and go on until the test lets them end; silent ones never answer; others answer at once. */
const byPath: Behaviour = (request, response, body) => {
  if (request.url?.startsWith('/silent/') === true) return
  if (request.url?.startsWith('/resumable/') !== true) {
    answerOk(request, response, body)
    return
  }
  response.writeHead(200, { [PLAIN_HEADERS.id]: request.headers[PLAIN_HEADERS.id] ?? '' })
  response.write(streamEvent(1))
}

describe('PlannedStop', () => {
  let server: RoutedServer
  let stop: PlannedStop
  let endpoint: EndpointStandin
  let telemetry: Telemetry
  let port = 0
  let connectionHeader: string | undefined

  async function serve (behaviour: Behaviour, graceMs: number): Promise<void> {
    const work = new WorkGate()
    const fleet = new RoutedFleet('n', () => 1, telemetry)
    stop = new PlannedStop(work, { balancerLagMs: 100, graceMs }, telemetry)
    server = new RoutedServer({
      fleet, codec: new PlainCodec(), work, stop, telemetry, budget: { ratio: 0.2, slack: 20 }, liveHosts: () => 1, desiredVersion: () => 1, mayAct: () => true, storesUsable: () => false, storeClockMs: () => undefined, isLagging: () => false
    }, performance.now() - LONG_AGO_MS)
    port = await server.listen('127.0.0.1', 0)
    server.configure({ ...TEST_SITE, routes: [...TEST_SITE.routes, testRoute('/silent/', { timeoutMs: 20_000 })] })
    endpoint = new EndpointStandin('e0', behaviour)
    fleet.update([await endpoint.listen()])
  }

  async function ask (path: string): Promise<Outcome> {
    return await new Promise(resolve => {
      const request = httpRequest({ host: '127.0.0.1', port, path, headers: { host: 'h', [PLAIN_HEADERS.id]: 'r1' } }, response => {
        response.resume()
        connectionHeader = response.headers.connection
        response.on('close', () => { resolve({ status: response.statusCode ?? 0, isWhole: response.complete }) })
      })
      request.on('error', () => { resolve({ status: 0, isWhole: false }) })
      request.end()
    })
  }

  beforeEach(() => { telemetry = new Telemetry('test') })

  afterEach(async () => {
    await server.close()
    endpoint.close()
  })

  describe('once the balancer has noticed', () => {
    it('takes no stream that could outlast the process, although requests keep coming', async () => {
      await serve(byPath, 5000)
      stop.begin()
      void stop.drain(server)
      const asked = ask('/resumable/1')
      await Promise.race([asked, endpoint.whenSeen()])
      // What the platform does when the grace period is over.
      await server.close()
      expect(await asked).toEqual({ status: 503, isWhole: true })
      expect(endpoint.seen).toHaveLength(0)
    })

    it('serves what will end in time for as long as earlier work keeps the process', async () => {
      await serve(byPath, 60_000)
      const earlier = ask('/resumable/1')
      await endpoint.whenSeen()
      stop.begin()
      const drained = stop.drain(server)
      expect(await ask('/safe/2')).toEqual({ status: 200, isWhole: true })
      expect(await ask('/safe/3')).toEqual({ status: 200, isWhole: true })
      endpoint.finishStreams()
      expect(await earlier).toEqual({ status: 200, isWhole: true })
      await drained
      expect(await ask('/safe/4')).toEqual({ status: 503, isWhole: true })
    })
  })

  describe('from the signal on', () => {
    it('takes a stream while the balancer may not have noticed, and asks its caller to leave the connection', async () => {
      await serve(byPath, 5000)
      stop.begin()
      const asked = ask('/resumable/1')
      await endpoint.whenSeen()
      endpoint.finishStreams()
      expect(await asked).toEqual({ status: 200, isWhole: true })
      expect(connectionHeader).toBe('close')
    })
  })

  describe('when the grace period is over', () => {
    it('ends what is left by itself, none of it as complete, and says which', async () => {
      const lines: string[] = []
      telemetry.decided = (event, request) => { lines.push(`${event} ${request}`) }
      await serve(byPath, 300)
      const begun = ask('/resumable/1')
      await endpoint.whenSeen()
      const silent = ask('/silent/2')
      await endpoint.whenSeen()
      stop.begin()
      await stop.drain(server)
      expect(await begun).toEqual({ status: 200, isWhole: false })
      // It ran, so its caller is told nothing else.
      expect(await silent).toEqual({ status: 502, isWhole: true })
      expect(lines.filter(line => line.startsWith('cut-by-stop'))).toHaveLength(2)
    })
  })
})
