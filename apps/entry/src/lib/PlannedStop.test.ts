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
import { EndpointStandin, streamEvent, type Behaviour } from './routed/harness/EndpointStandin.js'
import { PLAIN_HEADERS, PlainCodec } from './routed/harness/PlainCodec.js'
import { TEST_SITE } from './routed/harness/testSite.js'
import { RoutedFleet } from './routed/RoutedFleet.js'
import { RoutedServer } from './routed/RoutedServer.js'

interface Outcome {
  readonly status: number
  readonly isWhole: boolean
}

/** Age of a host that does not let requests wait for the site any more, in milliseconds. */
const LONG_AGO_MS = 60_000

/** Sends the first event of a stream and never the rest. */
const neverEnds: Behaviour = (request, response) => {
  response.writeHead(200, { [PLAIN_HEADERS.id]: request.headers[PLAIN_HEADERS.id] ?? '' })
  response.write(streamEvent(1))
}

describe('PlannedStop', () => {
  let server: RoutedServer
  let stop: PlannedStop
  let endpoint: EndpointStandin
  let port = 0

  async function serve (behaviour: Behaviour, graceMs: number): Promise<void> {
    const telemetry = new Telemetry('test')
    const work = new WorkGate()
    const fleet = new RoutedFleet('n', () => 1, telemetry)
    stop = new PlannedStop(work, { balancerLagMs: 100, graceMs }, telemetry)
    server = new RoutedServer({
      fleet, codec: new PlainCodec(), work, stop, telemetry, budget: { ratio: 0.2, slack: 20 }, liveHosts: () => 1, desiredVersion: () => 1, mayAct: () => true, storesUsable: () => false, storeClockMs: () => undefined, isLagging: () => false
    }, performance.now() - LONG_AGO_MS)
    port = await server.listen('127.0.0.1', 0)
    server.configure(TEST_SITE)
    endpoint = new EndpointStandin('e0', behaviour)
    fleet.update([await endpoint.listen()])
  }

  async function ask (path: string): Promise<Outcome> {
    return await new Promise(resolve => {
      const request = httpRequest({ host: '127.0.0.1', port, path, headers: { host: 'h', [PLAIN_HEADERS.id]: 'r1' } }, response => {
        response.resume()
        response.on('close', () => { resolve({ status: response.statusCode ?? 0, isWhole: response.complete }) })
      })
      request.on('error', () => { resolve({ status: 0, isWhole: false }) })
      request.end()
    })
  }

  beforeEach(() => { port = 0 })

  afterEach(async () => {
    await server.close()
    endpoint.close()
  })

  describe('once the balancer has noticed', () => {
    it('takes no stream that could outlast the process, although requests keep coming', async () => {
      await serve(neverEnds, 5000)
      stop.begin()
      void stop.drain(server)
      const asked = ask('/resumable/1')
      const isPassedOn = new Promise<void>(resolve => { endpoint.onSeen = resolve })
      await Promise.race([asked, isPassedOn])
      // What the platform does when the grace period is over.
      await server.close()
      expect(await asked).toEqual({ status: 503, isWhole: true })
      expect(endpoint.seen).toHaveLength(0)
    })
  })
})
