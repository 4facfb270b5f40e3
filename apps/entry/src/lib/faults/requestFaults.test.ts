/**
 * Guards against an exception in the handling of one request, or in the use of one endpoint, that ends the process with
 * the requests of all other callers.
 */
import { connect } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { InvariantViolation } from '@eelgrassmux/schema/invariant'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { FakeEndpoint, respondOk, streamEvent, type Behaviour } from '../routed/harness/FakeEndpoint.js'
import { PLAIN_HEADERS, PlainCodec } from '../routed/harness/PlainCodec.js'
import { RoutedHost, type CallerOutcome } from '../routed/harness/RoutedHost.js'
import type { CallerFields, EndpointFields, ResponseFields } from '../routed/RequestCodec.js'
import { FaultBoundary, RequestFaults } from './RequestFaults.js'

/** Id of the requests that the codec can't handle. */
const BAD_ID = 'bad'

type FailingStep = 'reading the request' | 'writing the request' | 'reading the response'

/** Throws in one step of every request with {@link BAD_ID}. */
class FailingCodec extends PlainCodec {
  constructor (private readonly step: FailingStep) { super() }

  override readRequestHeaders (headers: readonly string[]): CallerFields {
    this.#failIf('reading the request', headers)
    return super.readRequestHeaders(headers)
  }

  override writeRequestHeaders (headers: readonly string[], fields: EndpointFields): string[] {
    this.#failIf('writing the request', headers)
    return super.writeRequestHeaders(headers, fields)
  }

  override readResponseHeaders (status: number, headers: readonly string[]): ResponseFields {
    this.#failIf('reading the response', headers)
    return super.readResponseHeaders(status, headers)
  }

  #failIf (step: FailingStep, headers: readonly string[]): void {
    if (step === this.step && headers.includes(BAD_ID)) throw new TypeError(`no ${step}`)
  }
}

describe('an exception while one request is handled', () => {
  let host: RoutedHost | undefined
  let endpoint: FakeEndpoint | undefined

  afterEach(async () => {
    await host?.close()
    endpoint?.close()
  })

  async function startHost (behaviour: Behaviour, step: FailingStep): Promise<RoutedHost> {
    endpoint = new FakeEndpoint('sound', behaviour)
    host = new RoutedHost([endpoint], { codec: new FailingCodec(step), budget: { ratio: 100, slack: 200 } })
    await host.start()
    return host
  }

  const send = async (to: RoutedHost, path: string, id: string): Promise<CallerOutcome> => await to.sendRequest(path, () => {}, { [PLAIN_HEADERS.id]: id })

  it.each<[FailingStep, string]>([
    ['reading the request', '/safe/a'],
    ['writing the request', '/safe/a'],
    ['writing the request', '/unsafe/a'],
    ['writing the request', '/stream/a'],
    ['reading the response', '/safe/a'],
    ['reading the response', '/unsafe/a']
  ])('in %s of %s ends that request at once and no other', async (step, path) => {
    const pending: Array<() => void> = []
    const started = await startHost((request, response, body) => {
      const respond = (): void => { respondOk(request, response, body) }
      if (request.headers[PLAIN_HEADERS.id] === 'slow') pending.push(respond)
      else respond()
    }, step)
    const slow = send(started, '/unsafe/a', 'slow')
    await endpoint?.nextRequest()
    // At its deadline the request would get 504.
    expect((await send(started, path, BAD_ID)).status).toBe(502)
    for (const respond of pending) respond()
    expect((await slow).status).toBe(200)
    expect((await send(started, '/safe/a', 'next')).status).toBe(200)
  })

  it('is counted', async () => {
    const started = await startHost(respondOk, 'writing the request')
    await send(started, '/safe/a', BAD_ID)
    expect(await started.telemetry.registry.metrics()).toContain('request_faults_total{error="TypeError",program="test"} 1')
  })

  it('leaves a stream of another caller as it is', async () => {
    let finish = (): void => {}
    const started = await startHost((request, response) => {
      response.writeHead(200, { 'content-type': 'text/event-stream', [PLAIN_HEADERS.id]: request.headers[PLAIN_HEADERS.id] ?? '' })
      response.write(streamEvent(1))
      finish = () => { response.end(streamEvent(2)) }
    }, 'writing the request')
    const stream = send(started, '/stream/a', 'stream')
    await endpoint?.nextRequest()
    await send(started, '/safe/a', BAD_ID)
    finish()
    expect(await stream).toMatchObject({ status: 200, body: streamEvent(1) + streamEvent(2), isWhole: true })
  })
})

describe('an endpoint whose address no connection can be made to', () => {
  it('is passed over', async () => {
    const sound = new FakeEndpoint('sound', respondOk)
    const listed = await sound.listen()
    const host = new RoutedHost([])
    try {
      await host.start([{ ...listed, id: 'unusable', address: '127.0.0.300:1' }, listed])
      const outcomes = await Promise.all(Array.from({ length: 20 }, async () => await host.sendRequest('/unsafe/a')))
      expect(outcomes.map(({ status }) => status)).toEqual(outcomes.map(() => 200))
    } finally {
      await host.close()
      sound.close()
    }
  })
})

// Guards against headers of one caller that the HTTP client refuses to write, which counted as connections that the endpoint refused.
describe('a request with headers that can\'t be passed on', () => {
  it.each([['several hosts', 'Host: h\r\nHost: h\r\n'], ['a header without a name', 'Host: h\r\n: a\r\n']])('because of %s is refused with 400 and does not count against endpoints', async (_what, headers) => {
    const sound = new FakeEndpoint('sound', respondOk)
    const host = new RoutedHost([sound])
    try {
      await host.start()
      const head = await new Promise<string>((resolve, reject) => {
        const socket = connect(host.port, '127.0.0.1', () => { socket.write(`POST /safe/a HTTP/1.1\r\n${headers}Content-Length: 0\r\n\r\n`) })
        socket.once('data', data => {
          resolve(data.toString())
          socket.destroy()
        })
        socket.once('error', reject)
      })
      expect(head).toMatch(/^HTTP\/1.1 400 /)
      expect(host.fleet.endpointsOf('app').map(({ health }) => health.hasOutcomes)).toEqual([false])
    } finally {
      await host.close()
      sound.close()
    }
  })
})

describe('FaultBoundary', () => {
  const faults = new RequestFaults(new Telemetry('test'))

  it('runs no step after an exception', () => {
    let ends = 0
    let later = 0
    const boundary = new FaultBoundary(faults, 'r1', () => { ends += 1 })
    boundary.run(() => { throw new Error('broken') }, undefined)
    boundary.guard(() => { later += 1 })()
    expect({ ends, later }).toEqual({ ends: 1, later: 0 })
  })

  it('passes on what says that shared state is broken', () => {
    const boundary = new FaultBoundary(faults, 'r1', () => {})
    expect(() => { boundary.run(() => { throw new InvariantViolation('graceful-stop', '') }, undefined) }).toThrow(InvariantViolation)
  })

  it('contains a broken invariant of the request itself', () => {
    expect(new FaultBoundary(faults, 'r1', () => {}).run(() => { throw new InvariantViolation('dispatch-balance', '') }, 'ended')).toBe('ended')
  })
})
