/** Guards against large streams that are refused while they wait, or that lose the capacity of a reserved engine to smaller ones. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { LoadFeatures } from '@eelgrassmux/routing/features/LoadFeatures'
import { NO_ENDPOINT_LOAD } from '@eelgrassmux/routing/load/loadReport'
import type { WaitingAnswer, WaitingReport } from '@eelgrassmux/routing/waiting/waitingMessages'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { WaitingExchange } from '../waiting/WaitingExchange.js'
import type { EngineReservations } from './EngineReservations.js'
import { FakeEndpoint, streamEvent } from './harness/FakeEndpoint.js'
import { PlainCodec } from './harness/PlainCodec.js'
import { RoutedHost, type CallerOutcome } from './harness/RoutedHost.js'
import { TEST_SITE } from './harness/testSite.js'
import type { CallerFields, EndpointFields } from './RequestCodec.js'

const RESERVATION_HEADER = 'reservation'

/** Reads a prompt of 600 tokens from each request, and writes the reservation into a header. */
class PromptCodec extends PlainCodec {
  override readRequestHeaders (headers: readonly string[]): CallerFields {
    return { ...super.readRequestHeaders(headers), prompt: { model: 'm', promptTokens: 600, outputTokens: 0, parts: [{ id: 'p', tokens: 600 }] } }
  }

  override writeRequestHeaders (headers: readonly string[], fields: EndpointFields): string[] {
    const written = super.writeRequestHeaders(headers, fields)
    return fields.reservation === undefined ? written : [...written, RESERVATION_HEADER, fields.reservation]
  }
}

const SITE = {
  ...TEST_SITE,
  services: [{ type: 'replicated' as const, name: 'app', connectionsPerEndpoint: 0, healthPath: '/', engine: { slots: 4, cacheTokens: 1000, bytesPerToken: 1, linkMbps: 0, models: ['m'], reservationMs: 500 } }]
}

const NOTHING: Omit<WaitingAnswer, 'sequence'> = { grants: [], refusals: [], reserved: [], contended: [] }

describe('a stream for which no engine has memory', () => {
  let host: RoutedHost
  let endpoint: FakeEndpoint
  let question: { readonly report: WaitingReport, readonly answer: (answer: Omit<WaitingAnswer, 'sequence'>) => void } | undefined
  let onQuestion: () => void
  let reservations: string[]
  let takeReservation: () => Promise<string | undefined>
  let waiting: WaitingExchange

  beforeEach(async () => {
    question = undefined
    onQuestion = () => {}
    reservations = []
    endpoint = new FakeEndpoint('e0', (_request, response) => { response.end(streamEvent(1)) })
    const engineReservations: EngineReservations = {
      take: async (_endpoint, { tokens, leaseMs }) => {
        reservations.push(`take ${tokens} ${leaseMs}`)
        return await takeReservation()
      },
      release: (_endpoint, id) => { reservations.push(`release ${id}`) }
    }
    waiting = new WaitingExchange('h', {
      features: new LoadFeatures(['waiting-order']),
      leader: () => 'leader',
      withRecentLoad: place => { place() },
      datagrams: {
        ask: (_address, _method, request, onResponse) => {
          const report = request as WaitingReport
          question = { report, answer: answer => { onResponse({ ...answer, sequence: report.sequence } as never, 0) } }
          onQuestion()
        }
      }
    }, new Telemetry('test'))
    host = new RoutedHost([endpoint], { codec: new PromptCodec(), site: SITE, models: [{ model: 'm', version: 1 }], waiting: { waiting, reservations: engineReservations } })
    await host.start()
    const [state] = host.fleet.endpointsOf('app')
    const work = [{ ...NO_ENDPOINT_LOAD, endpoint: state?.incarnation ?? '', inFlight: 1, heldTokens: 700 }]
    host.fleet.otherHostsLoad.recordOwnReport(1, { work: [], links: [] }, performance.now())
    host.fleet.otherHostsLoad.recordTotals({ sequence: 1, work, links: [] }, performance.now())
  })

  afterEach(async () => {
    waiting.stop()
    await host.close()
  })

  async function nextQuestion (): Promise<NonNullable<typeof question>> {
    if (question === undefined) await new Promise<void>(resolve => { onQuestion = resolve })
    const taken = question
    question = undefined
    if (taken === undefined) throw new Error('no question')
    return taken
  }

  /** Sends a stream, and lets the leader reserve the engine for it and grant it. */
  async function sendAndGrant (): Promise<{ readonly outcome: Promise<CallerOutcome> }> {
    const outcome = host.sendRequest('/stream/a')
    const first = await nextQuestion()
    const [request] = first.report.waiting
    const engine = request?.candidates[0] ?? ''
    first.answer({ ...NOTHING, reserved: [{ endpoint: engine, urgency: 0 }] })
    const second = await nextQuestion()
    second.answer({ ...NOTHING, grants: [{ ticket: request?.ticket ?? 0, endpoint: engine, validMs: 150 }] })
    return { outcome }
  }

  it('joins the queue with what it needs', async () => {
    takeReservation = async () => undefined
    const outcome = host.sendRequest('/stream/a')
    const { report: { waiting: [request] }, answer } = await nextQuestion()
    expect(request).toMatchObject({ kind: 'engine', service: 'app', tokens: 600, prefillTokens: 600, candidates: [expect.stringContaining('e0')] })
    answer({ ...NOTHING, refusals: [{ ticket: request?.ticket ?? 0, retryAfterMs: 400 }] })
    expect(await outcome).toMatchObject({ status: 503 })
    expect(endpoint.receivedRequests).toHaveLength(0)
  })

  it('is sent with the reservation of the engine that was reserved for it', async () => {
    takeReservation = async () => 'h1'
    const { outcome } = await sendAndGrant()
    expect(await outcome).toMatchObject({ status: 200, body: streamEvent(1) })
    expect(reservations).toEqual(['take 600 500'])
    expect(endpoint.receivedRequests[0]?.headers[RESERVATION_HEADER]).toBe('h1')
  })

  it('is sent without a reservation if the engine grants none', async () => {
    takeReservation = async () => undefined
    const { outcome } = await sendAndGrant()
    expect(await outcome).toMatchObject({ status: 200 })
    expect(endpoint.receivedRequests[0]?.headers[RESERVATION_HEADER]).toBeUndefined()
  })

  it('releases the reservation, and returns the grant, if the endpoint leaves meanwhile', async () => {
    takeReservation = async () => {
      host.fleet.endpointsOf('app')[0]?.markLeaving()
      return 'h1'
    }
    const { outcome } = await sendAndGrant()
    expect(await outcome).toMatchObject({ status: 503 })
    expect(reservations).toEqual(['take 600 500', 'release h1'])
    expect((await nextQuestion()).report.outcomes).toEqual([{ ticket: 1, wasSent: false }])
  })
})
