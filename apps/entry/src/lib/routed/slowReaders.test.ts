import { connect, createServer, type AddressInfo, type Server as NetServer, type Socket } from 'node:net'
import { Duplex } from 'node:stream'
import { setTimeout as sleep } from 'node:timers/promises'
import { request as httpRequest, type Server } from 'node:http'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import { afterEach, describe, expect, it, vi } from 'vitest'
import type { EarlyListener } from '@eelgrassmux/daemon/EarlyListener'
import { FakeEndpoint, rejectNotExecuted, respondOk, type Behaviour } from './harness/FakeEndpoint.js'
import { RoutedHost, type RoutedHostOptions } from './harness/RoutedHost.js'
import { TEST_SITE } from './harness/testSite.js'

const KILOBYTE = 1024
const MEGABYTE = 1024 * KILOBYTE
const CHUNK_BYTES = 64 * KILOBYTE

/** Size of a response that the kernel's buffers on both connections (about 4 MB each) do not take up, in bytes. */
const LARGE_BYTES = 24 * MEGABYTE

/** Time in which an endpoint writes a response if nothing holds it up, in milliseconds. */
const WRITING_MS = 5000

/** Time without progress after which a response counts as stalled, in milliseconds. */
const STALL_MS = 300

/** Sends a stream of the given size as fast as the host reads it. */
function respondWith (bytes: number): Behaviour {
  return (_request, response) => {
    const chunk = Buffer.alloc(CHUNK_BYTES, 'x')
    let left = bytes
    const write = (): void => {
      while (left > 0) {
        left -= chunk.length
        if (response.write(chunk)) continue
        response.once('drain', write)
        return
      }
      response.end()
    }
    response.writeHead(200)
    write()
  }
}

/** A caller's connection from which nothing is ever read: the host's first write does not complete. */
class StalledCaller extends Duplex {
  isReset = false

  constructor (path: string, key: string) {
    super()
    this.on('error', () => {})
    this.push(`GET ${path} HTTP/1.1\r\nhost: h\r\nkey: ${key}\r\nrequest-id: r1\r\n\r\n`)
  }

  override _read (): void {}
  override _write (): void {}
  override _writev (): void {}
  setTimeout (): this { return this }
  resetAndDestroy (): void {
    this.isReset = true
    this.destroy()
  }
}

/** An endpoint that accepts connections and reads nothing. */
class StalledEndpoint extends FakeEndpoint {
  readonly #sockets: Socket[] = []
  readonly #server: NetServer = createServer({ pauseOnConnect: true }, socket => {
    socket.on('error', () => {})
    this.#sockets.push(socket)
  })

  override async listen (): Promise<ListedEndpoint> {
    await new Promise<void>(resolve => { this.#server.listen(0, '127.0.0.1', resolve) })
    return { id: this.id, service: 'app', address: `127.0.0.1:${(this.#server.address() as AddressInfo).port}`, dataCentre: 'n', slots: 4, isLeaving: false, isBusy: false, models: [] }
  }

  override close (): void {
    for (const socket of this.#sockets) socket.destroy()
    this.#server.close()
  }
}

describe('slow readers', () => {
  let host: RoutedHost | undefined
  const callers: Array<Socket | StalledCaller> = []
  afterEach(async () => {
    for (const caller of callers.splice(0)) caller.destroy()
    await host?.close()
  })

  async function startHost (endpoint: FakeEndpoint, options: RoutedHostOptions): Promise<RoutedHost> {
    const site = { ...TEST_SITE, routes: TEST_SITE.routes.map(route => ({ ...route, timeoutMs: 60_000 })), limits: { ...TEST_SITE.limits, bodyBytes: LARGE_BYTES } }
    host = new RoutedHost([endpoint], { site, requestBytes: { totalBytes: 4 * LARGE_BYTES, customerBytes: 2 * LARGE_BYTES }, ...options })
    await host.start()
    return host
  }

  /** Sends a request over a socket that is paused, and returns the socket. */
  function sendAsSlowCaller (started: RoutedHost, path: string): Socket {
    const socket = connect({ host: '127.0.0.1', port: started.port })
    socket.on('error', () => {})
    socket.pause()
    socket.write(`GET ${path} HTTP/1.1\r\nhost: h\r\nrequest-id: r1\r\nconnection: close\r\n\r\n`)
    callers.push(socket)
    return socket
  }

  /** Returns the host's HTTP server, which takes connections that are emitted on it. */
  async function serverOf (started: RoutedHost): Promise<Server> {
    let server: Server | undefined
    const listener = { isListeningOn: () => true, transferTo: async (listening: Server) => { server = listening } }
    await started.server.listen('127.0.0.1', started.port, listener as unknown as EarlyListener)
    if (server === undefined) throw new Error('the host has no server')
    return server
  }

  async function readAll (socket: Socket): Promise<{ readonly bytes: number, readonly isWhole: boolean }> {
    let bytes = 0
    let tail = ''
    socket.on('data', (chunk: Buffer) => {
      bytes += chunk.length
      tail = (tail + chunk.subarray(-8).toString('latin1')).slice(-8)
    })
    socket.resume()
    await new Promise<void>(resolve => { socket.on('close', () => { resolve() }) })
    return { bytes, isWhole: tail.endsWith('0\r\n\r\n') }
  }

  /** An endpoint that notes whether its large response has ended. */
  function largeEndpoint (bytes = LARGE_BYTES): { readonly endpoint: FakeEndpoint, hasFinished: () => boolean } {
    let hasFinished = false
    const respond = respondWith(bytes)
    const endpoint = new FakeEndpoint('e0', (request, response, body) => {
      if (!(request.url ?? '').endsWith('/large')) return respondOk(request, response, body)
      response.on('finish', () => { hasFinished = true })
      respond(request, response, body)
    })
    return { endpoint, hasFinished: () => hasFinished }
  }

  describe('a slow caller beside fast ones', () => {
    // Guards against a slot of the endpoint that stays taken for as long as the caller needs to read.
    it('does not hold up the endpoint, and gets everything', async () => {
      const { endpoint, hasFinished } = largeEndpoint()
      const started = await startHost(endpoint, { features: ['slow-readers'] })
      const slow = sendAsSlowCaller(started, '/stream/large')
      await vi.waitFor(() => { expect(hasFinished()).toBe(true) }, WRITING_MS)
      await vi.waitFor(() => { expect(started.slowReaders.totalBytes).toBeGreaterThan(LARGE_BYTES / 2) }, WRITING_MS)
      const fast = await Promise.all([1, 2, 3].map(async () => await started.sendRequest('/stream/a')))
      expect(fast.map(({ status, isWhole }) => ({ status, isWhole }))).toEqual([1, 2, 3].map(() => ({ status: 200, isWhole: true })))
      const { bytes, isWhole } = await readAll(slow)
      expect(bytes).toBeGreaterThan(LARGE_BYTES)
      expect(isWhole).toBe(true)
      await vi.waitFor(() => { expect(started.slowReaders.totalBytes).toBe(0) })
    }, 20_000)

    // Guards against the memory of what has arrived behind responses whose callers do not read: only the feature bounded it.
    it('is cut beyond the bound while the feature is off', async () => {
      const { endpoint } = largeEndpoint()
      // Two responses wait within the bound.
      const bytes = 300 * KILOBYTE
      const started = await startHost(endpoint, { heldBytes: { totalBytes: bytes, customerBytes: bytes } })
      const slow = Array.from({ length: 4 }, () => sendAsSlowCaller(started, '/stream/large'))
      await vi.waitFor(async () => { expect(await started.telemetry.registry.metrics()).toContain('slow_readers_cut_total{reader="caller",program="test"} 2') }, WRITING_MS)
      const outcomes = await Promise.all(slow.map(readAll))
      expect(outcomes.filter(({ isWhole }) => isWhole)).toHaveLength(2)
    }, 20_000)

    it('pauses the endpoint while the feature is off', async () => {
      const { endpoint, hasFinished } = largeEndpoint()
      const started = await startHost(endpoint, {})
      const slow = sendAsSlowCaller(started, '/stream/large')
      await endpoint.nextRequest()
      await sleep(STALL_MS)
      expect(hasFinished()).toBe(false)
      expect(started.slowReaders.totalBytes).toBe(0)
      const { bytes, isWhole } = await readAll(slow)
      expect(bytes).toBeGreaterThan(LARGE_BYTES)
      expect(isWhole).toBe(true)
    }, 20_000)
  })

  describe('an endpoint that rejects requests while more than 1,000 KB of them are there', () => {
    const BODY_BYTES = 300 * KILOBYTE
    const WORK_MS = 200

    /** Sends two bursts of four requests, and returns the rejections of each burst. */
    async function rejectionsByBurst (features: RoutedHostOptions['features']): Promise<number[]> {
      let present = 0
      let rejections = 0
      const endpoint = new FakeEndpoint('e0', (request, response, body) => {
        if (present + body.length > 1000 * KILOBYTE) {
          rejections += 1
          rejectNotExecuted(request, response, body)
          return
        }
        present += body.length
        setTimeout(() => {
          present -= body.length
          respondOk(request, response, '')
        }, WORK_MS)
      })
      const started = await startHost(endpoint, { features: features ?? [] })
      const send = async (): Promise<number> => await new Promise(resolve => {
        const request = httpRequest({ host: '127.0.0.1', port: started.port, path: '/safe/a', method: 'POST', headers: { host: 'h', 'request-id': 'r1' } }, response => {
          response.resume()
          resolve(response.statusCode ?? 0)
        })
        request.on('error', () => { resolve(0) })
        request.end(Buffer.alloc(BODY_BYTES, 'x'))
      })
      const byBurst: number[] = []
      for (let burst = 0; burst < 2; burst += 1) {
        rejections = 0
        const statuses = await Promise.all([1, 2, 3, 4].map(send))
        byBurst.push(rejections)
        if (features !== undefined && burst === 1) expect(statuses).toEqual([200, 200, 200, 200])
      }
      return byBurst
    }

    // Guards against a host that sends an endpoint again and again as many bytes as it rejects.
    it('gets no more than it takes after it has rejected some', async () => {
      const [first, last] = await rejectionsByBurst(['slow-readers'])
      expect(first).toBeGreaterThan(0)
      expect(last).toBe(0)
    }, 20_000)

    it('goes on rejecting while the feature is off', async () => {
      const [, last] = await rejectionsByBurst(undefined)
      expect(last).toBeGreaterThan(0)
    }, 20_000)
  })

  describe('beyond the bound', () => {
    const BOUNDS = { totalBytes: 8 * MEGABYTE, customerBytes: 2 * MEGABYTE }

    // Guards against a cut response that looks complete, and against work at the endpoint for a caller that was cut.
    it('cuts the slow caller so that its response looks incomplete, and cancels the attempt', async () => {
      const { endpoint } = largeEndpoint()
      const started = await startHost(endpoint, { features: ['slow-readers'], heldBytes: BOUNDS })
      const logged = vi.spyOn(started.telemetry, 'logDecision')
      const slow = sendAsSlowCaller(started, '/stream/large')
      await vi.waitFor(() => { expect(endpoint.abortedResponses).toBe(1) }, WRITING_MS)
      expect(started.slowReaders.totalBytes).toBe(0)
      const { isWhole } = await readAll(slow)
      expect(isWhole).toBe(false)
      expect(logged).toHaveBeenCalledWith('slow-reader-cut', 'r1', expect.objectContaining({ reader: 'caller', customer: '', endpoint: 'e0' }))
      expect((await started.sendRequest('/stream/a')).isWhole).toBe(true)
    }, 20_000)

    // Guards against bodies that stay in memory for an endpoint that does not read them.
    it('cuts a request whose endpoint has not read it for 2 s', async () => {
      const started = await startHost(new StalledEndpoint('e0', respondOk), { features: ['slow-readers'], heldBytes: BOUNDS })
      const logged = vi.spyOn(started.telemetry, 'logDecision')
      const bodyBytes = 16 * MEGABYTE
      const outcomes: string[] = []
      const send = (): void => {
        const socket = connect({ host: '127.0.0.1', port: started.port })
        callers.push(socket)
        socket.on('error', () => {})
        socket.once('data', (data: Buffer) => { outcomes.push(data.toString('latin1').split('\r\n')[0] ?? '') })
        socket.write(`POST /unsafe/a HTTP/1.1\r\nhost: h\r\nrequest-id: r1\r\ncontent-length: ${bodyBytes}\r\n\r\n`)
        socket.write(Buffer.alloc(bodyBytes))
      }
      send()
      await vi.waitFor(() => { expect(started.slowReaders.totalBytes).toBeGreaterThan(BOUNDS.totalBytes) }, WRITING_MS)
      await sleep(2100)
      expect(outcomes).toEqual([])
      send()
      await vi.waitFor(() => { expect(outcomes).toEqual(['HTTP/1.1 502 Bad Gateway']) }, WRITING_MS)
      expect(logged).toHaveBeenCalledWith('slow-reader-cut', 'r1', expect.objectContaining({ reader: 'endpoint', endpoint: 'e0' }))
    }, 20_000)

    // Guards against memory that grows with the number of callers that read nothing; the callers' connections take nothing, so all bytes stay in the host.
    it('holds no more than the bound with 200 slow callers, and serves others beside them', async () => {
      const endpoint = new FakeEndpoint('e0', (request, response, body) => {
        if ((request.url ?? '').endsWith('/part')) respondWith(2 * CHUNK_BYTES)(request, response, body)
        else respondOk(request, response, body)
      })
      const started = await startHost(endpoint, { features: ['slow-readers'], heldBytes: BOUNDS })
      const server = await serverOf(started)
      const stalled = Array.from({ length: 200 }, () => new StalledCaller('/stream/part', 'right'))
      callers.push(...stalled)
      let mostHeld = 0
      for (const caller of stalled) {
        server.emit('connection', caller)
        await endpoint.nextRequest()
        mostHeld = Math.max(mostHeld, stalled.reduce((sum, { writableLength, destroyed }) => sum + (destroyed ? 0 : writableLength), 0))
      }
      await vi.waitFor(() => { expect(stalled.filter(({ isReset }) => isReset).length).toBeGreaterThan(130) }, WRITING_MS)
      expect(mostHeld).toBeGreaterThan(BOUNDS.totalBytes / 2)
      expect(mostHeld).toBeLessThanOrEqual(BOUNDS.totalBytes + CHUNK_BYTES)
      expect(started.slowReaders.totalBytes).toBeLessThanOrEqual(BOUNDS.totalBytes)
      // The oldest were cut, and the last ones are still being served.
      expect(stalled.slice(0, 100).every(({ isReset }) => isReset)).toBe(true)
      expect(stalled.slice(-10).some(({ isReset }) => isReset)).toBe(false)
      expect((await started.sendRequest('/stream/a')).isWhole).toBe(true)
    }, 20_000)
  })
})
