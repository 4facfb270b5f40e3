/**
 * Guards against streams with events of two software versions: a stream that broke off went on at an endpoint with
 * another version than the one that began it, within one response or when its caller took it up at any host.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, describe, expect, it } from 'vitest'
import { FakeEndpoint, resetConnection, type Behaviour } from './harness/FakeEndpoint.js'
import { LinkedHosts } from './harness/LinkedHosts.js'
import { PLAIN_HEADERS } from './harness/PlainCodec.js'
import { TEST_SITE, testRoute } from './harness/testSite.js'
import { RoutedHost, type CallerOutcome, type RoutedHostOptions } from './harness/RoutedHost.js'

/** Time limit of a response, in milliseconds; callers disconnect after two seconds without an event. */
const RESPONSE_TIMEOUT_MS = 6000

/** Time after which hosts have exchanged what they know of a stream, in milliseconds. */
const EXCHANGE_MS = 100

/** Streams that each test begins; endpoints are chosen at random, so that a single one could go on at the right version by chance. */
const STREAMS = 12

const OPTIONS: RoutedHostOptions = { budget: { ratio: 100, slack: 200 } }

/** An event that names the software version that wrote it. */
const eventOf = (software: string, id: number): string => `id: ${id}\ndata: ${software}\n\n`

/** Begins a response and returns the ids of the events that remain to be sent. */
function beginResponse (...[request, response]: Parameters<Behaviour>): number[] {
  response.writeHead(200, { 'content-type': 'text/event-stream', [PLAIN_HEADERS.id]: request.headers[PLAIN_HEADERS.id] ?? '' })
  const last = Number(request.headers[PLAIN_HEADERS.lastEvent] ?? 0)
  return [1, 2, 3].filter(id => id > last)
}

/** Sends the first event of new streams and resets the connection, and sends the rest of streams that go on. */
const breaksOff = (software: string): Behaviour => (request, response, body) => {
  const rest = beginResponse(request, response, body)
  if (rest.length < 3) {
    response.end(rest.map(id => eventOf(software, id)).join(''))
    return
  }
  response.write(eventOf(software, 1))
  setTimeout(() => { resetConnection(request, response, body) }, 20)
}

/** Sends one and a half events of new streams, and the rest of streams that go on; the end of the connection is that of the response. */
const endsInsideEvent = (software: string): Behaviour => request => {
  const { socket, headers } = request
  const last = Number(headers[PLAIN_HEADERS.lastEvent] ?? 0)
  socket.write(['HTTP/1.1 200 OK', `${PLAIN_HEADERS.id}: ${String(headers[PLAIN_HEADERS.id])}`, 'content-type: text/event-stream', 'connection: close', '', ''].join('\r\n'))
  const rest = [1, 2, 3].filter(id => id > last).map(id => eventOf(software, id))
  const isNew = rest.length === 3
  setTimeout(() => { socket.end(isNew ? `${rest[0] ?? ''}id: 2\ndata: ${software}` : rest.join('')) }, 20)
}

/** Returns the software versions of the events in a body. */
function versionsIn (body: string): Set<string> {
  return new Set([...body.matchAll(/^data: (.*)$/gm)].map(([, software = '']) => software))
}

function countEvents (body: string): number {
  return body.split('\n\n').length - 1
}

/** Begins a stream on a route that may be resumed. */
async function beginStream (host: RoutedHost, id: string): Promise<CallerOutcome> {
  return await host.sendRequest('/resumable/', () => {}, { [PLAIN_HEADERS.id]: id })
}

/** Takes a stream up that broke off after its first event. */
async function takeUp (host: RoutedHost, id: string, resumes: string): Promise<CallerOutcome> {
  return await host.sendRequest('/resumable/', () => {}, { [PLAIN_HEADERS.id]: id, [PLAIN_HEADERS.lastEvent]: '1', [PLAIN_HEADERS.resumes]: resumes })
}

describe('streams of a service whose endpoints have several software versions', () => {
  let host: RoutedHost | undefined
  let linked: LinkedHosts | undefined

  afterEach(async () => {
    await host?.close()
    await linked?.close()
    host = linked = undefined
  })

  /** Returns three endpoints of each version. */
  function mixedEndpoints (behaviour: (software: string) => Behaviour): FakeEndpoint[] {
    return ['v1', 'v2', 'v1', 'v2', 'v1', 'v2'].map((software, number) => new FakeEndpoint(`e${number}`, behaviour(software), software))
  }

  async function serve (endpoints: readonly FakeEndpoint[]): Promise<RoutedHost> {
    host = new RoutedHost(endpoints, OPTIONS)
    await host.start()
    return host
  }

  it('go on at the version that began them after their endpoint has broken off', async () => {
    const serving = await serve(mixedEndpoints(breaksOff))
    const outcomes = await Promise.all(Array.from({ length: STREAMS }, async (_, number) => await beginStream(serving, `r${number}`)))
    expect(outcomes.map(({ body }) => versionsIn(body).size)).toEqual(outcomes.map(() => 1))
    expect(outcomes.every(({ isWhole, body }) => isWhole && countEvents(body) === 3)).toBe(true)
  }, RESPONSE_TIMEOUT_MS)

  // Guards against a stream that ends with its connection inside an event, which looks like a complete response.
  it('go on at the version that began them after a response whose end only its connection marks has ended inside an event', async () => {
    const serving = await serve(mixedEndpoints(endsInsideEvent))
    const outcomes = await Promise.all(Array.from({ length: STREAMS }, async (_, number) => await beginStream(serving, `r${number}`)))
    expect(outcomes.map(({ body }) => versionsIn(body).size)).toEqual(outcomes.map(() => 1))
    expect(outcomes.every(({ isWhole, body }) => isWhole && countEvents(body) === 3)).toBe(true)
  }, RESPONSE_TIMEOUT_MS)

  it('are broken off if no endpoint has the version that began them', async () => {
    const serving = await serve([new FakeEndpoint('e0', breaksOff('v1'), 'v1')])
    const begun = beginStream(serving, 'r1')
    const other = new FakeEndpoint('e1', breaksOff('v2'), 'v2')
    serving.list([...serving.fleet.endpointsOf('app').map(({ listed }) => listed), await other.listen()])
    const { body, isWhole } = await begun
    other.close()
    expect({ versions: versionsIn(body).size, isWhole }).toEqual({ versions: 1, isWhole: false })
  }, RESPONSE_TIMEOUT_MS)

  it('do not go on at a standby that was opened before their first event', async () => {
    // The first attempt is silent until a standby at the other version has been sent, then sends one event and breaks off.
    let breakFirst = (): void => {}
    const silent: Behaviour = (request, response, body) => {
      breakFirst = () => {
        beginResponse(request, response, body)
        response.write(eventOf('v1', 1))
        setTimeout(() => { resetConnection(request, response, body) }, 20)
      }
    }
    const answersLater: Behaviour = (request, response, body) => {
      breakFirst()
      setTimeout(() => { response.end(beginResponse(request, response, body).map(id => eventOf('v2', id)).join('')) }, 60)
    }
    const first = new FakeEndpoint('e0', silent, 'v1')
    const serving = await serve([first])
    const begun = beginStream(serving, 'r1')
    await first.nextRequest()
    const second = new FakeEndpoint('e1', answersLater, 'v2')
    serving.list([...serving.fleet.endpointsOf('app').map(({ listed }) => listed), await second.listen()])
    const { body } = await begun
    second.close()
    expect({ standbys: second.receivedRequests.length, versions: [...versionsIn(body)] }).toEqual({ standbys: 1, versions: ['v1'] })
  }, RESPONSE_TIMEOUT_MS)

  it('go on at the version that began them when their caller takes them up at the same host', async () => {
    const endpoints = mixedEndpoints(breaksOff)
    const serving = await serve(endpoints)
    for (let number = 0; number < STREAMS; number += 1) {
      const began = await firstEventOf(serving, `r${number}`)
      const { status, body } = await takeUp(serving, `r${number}-again`, `r${number}`)
      expect({ status, versions: [...versionsIn(body)] }).toEqual({ status: 200, versions: [began] })
    }
  }, RESPONSE_TIMEOUT_MS)

  it('go on at the version that began them when their caller takes them up at another host', async () => {
    linked = new LinkedHosts(2, mixedEndpoints(breaksOff), OPTIONS)
    await linked.start()
    const [first, second] = linked.hosts
    if (first === undefined || second === undefined) throw new Error('two hosts were started')
    for (let number = 0; number < STREAMS; number += 1) {
      const began = await firstEventOf(first, `r${number}`)
      await sleep(EXCHANGE_MS)
      const { status, body } = await takeUp(second, `r${number}-again`, `r${number}`)
      expect({ status, versions: [...versionsIn(body)] }).toEqual({ status: 200, versions: [began] })
    }
  }, RESPONSE_TIMEOUT_MS)

  it('are refused as not run if the host does not know what began them', async () => {
    const endpoints = mixedEndpoints(breaksOff)
    const serving = await serve(endpoints)
    const outcomes = await Promise.all(Array.from({ length: STREAMS }, async (_, number) => await takeUp(serving, `r${number}`, `unknown${number}`)))
    expect(outcomes.map(({ status }) => status)).toEqual(outcomes.map(() => 503))
    expect(endpoints.flatMap(({ receivedRequests }) => receivedRequests)).toEqual([])
  }, RESPONSE_TIMEOUT_MS)

  describe('that is replaced as a whole', () => {
    const LIFETIME_MS = 400
    const site = { ...TEST_SITE, routes: [testRoute('/resumable/', { kind: 'stream', isResumable: true, timeoutMs: LIFETIME_MS })] }
    let newcomers: FakeEndpoint[]

    /** Starts two hosts that have followed one version for longer than streams last, then lists a new version in place of it at the given ones. */
    async function replaceVersion (informed: (hosts: readonly RoutedHost[]) => readonly RoutedHost[]): Promise<readonly RoutedHost[]> {
      linked = new LinkedHosts(2, [0, 1, 2].map(number => new FakeEndpoint(`old${number}`, breaksOff('v1'), 'v1')), { ...OPTIONS, site })
      await linked.start()
      await sleep(LIFETIME_MS + EXCHANGE_MS)
      newcomers = [0, 1, 2].map(number => new FakeEndpoint(`new${number}`, breaksOff('v2'), 'v2'))
      const listed = await Promise.all(newcomers.map(async endpoint => await endpoint.listen()))
      const { hosts } = linked
      const leaving = hosts[0]?.fleet.endpointsOf('app').map(endpoint => ({ ...endpoint.listed, isLeaving: true })) ?? []
      for (const host of informed(hosts)) host.list([...leaving, ...listed])
      return hosts
    }

    afterEach(() => { for (const endpoint of newcomers) endpoint.close() })

    /** Begins streams at the first host and takes them up at the second at once; returns the versions that wrote the rest of each, with the status. */
    async function takeUpElsewhere ([first, second]: readonly RoutedHost[], isNamed: boolean): Promise<Array<{ status: number, versions: string[] }>> {
      if (first === undefined || second === undefined) throw new Error('two hosts were started')
      return await Promise.all(Array.from({ length: STREAMS }, async (_, number) => {
        const id = `r${number}`
        await first.sendRequest('/resumable/', () => {}, { [PLAIN_HEADERS.id]: id })
        const { status, body } = await second.sendRequest('/resumable/', () => {}, { [PLAIN_HEADERS.id]: `${id}-again`, [PLAIN_HEADERS.lastEvent]: '1', ...isNamed ? { [PLAIN_HEADERS.resumes]: id } : {} })
        return { status, versions: status === 200 ? [...versionsIn(body)] : [] }
      }))
    }

    // Guards against a host whose recent list does not show a version yet that others have begun streams at.
    it.each([['with', true], ['without', false]] as const)('do not go on at the old version at a host with an older list, %s their name', async (_case, isNamed) => {
      const hosts = await replaceVersion(([first]) => first === undefined ? [] : [first])
      const outcomes = await takeUpElsewhere(hosts, isNamed)
      expect(outcomes).toEqual(outcomes.map(() => ({ status: 503, versions: [] })))
    }, RESPONSE_TIMEOUT_MS)

    // Guards against streams that go on nowhere in the first seconds of the version that began them.
    it('go on at the new version at once at a host that lists it', async () => {
      const hosts = await replaceVersion(all => all)
      const outcomes = await takeUpElsewhere(hosts, true)
      expect(outcomes).toEqual(outcomes.map(() => ({ status: 200, versions: ['v2'] })))
    }, RESPONSE_TIMEOUT_MS)
  })

  /** Begins a stream and returns the version that began it. */
  async function firstEventOf (serving: RoutedHost, id: string): Promise<string> {
    const { body } = await beginStream(serving, id)
    const [began = ''] = versionsIn(body)
    return began
  }
})
