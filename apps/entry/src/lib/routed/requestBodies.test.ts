import { connect, type Socket } from 'node:net'
import { afterEach, describe, expect, it, vi } from 'vitest'
import { FakeEndpoint, respondOk } from './harness/FakeEndpoint.js'
import { RoutedHost } from './harness/RoutedHost.js'
import { TEST_SITE } from './harness/testSite.js'

const KILOBYTE = 1024
const BODY_BYTES = 256 * KILOBYTE
const BOUNDS = { totalBytes: 8 * BODY_BYTES, customerBytes: 4 * BODY_BYTES }

/** Time in which everything that a test waits for happens, in milliseconds. */
const WAIT_MS = 8000

/** A connection on which a caller sends one request as raw bytes. */
class RawCaller {
  received = ''
  readonly socket: Socket
  readonly #ended: Promise<void>
  isReset = false

  constructor (port: number, head: string, body: Buffer) {
    this.socket = connect({ host: '127.0.0.1', port })
    this.#ended = new Promise(resolve => { this.socket.on('close', () => { resolve() }) })
    this.socket.on('data', chunk => { this.received += chunk.toString() })
    this.socket.on('error', () => { this.isReset = true })
    this.socket.write(`POST /safe/a HTTP/1.1\r\nhost: h\r\nrequest-id: r1\r\n${head}\r\n\r\n`)
    this.socket.write(body)
  }

  get status (): number { return Number(this.received.slice(9, 12)) }

  async ended (): Promise<void> { await this.#ended }
}

describe('request bodies', () => {
  let host: RoutedHost | undefined
  const callers: RawCaller[] = []
  afterEach(async () => {
    for (const { socket } of callers.splice(0)) socket.destroy()
    await host?.close()
  })

  async function startHost (endpoint = new FakeEndpoint('e0', respondOk)): Promise<RoutedHost> {
    const services = [{ type: 'replicated' as const, name: 'app', connectionsPerEndpoint: 400, healthPath: '/' }]
    const site = { ...TEST_SITE, services, routes: TEST_SITE.routes.map(route => ({ ...route, timeoutMs: 60_000 })), limits: { ...TEST_SITE.limits, bodyBytes: 64 * BODY_BYTES } }
    host = new RoutedHost([endpoint], { site, requestBytes: BOUNDS })
    await host.start()
    return host
  }

  function send (port: number, head: string, body: Buffer): RawCaller {
    const caller = new RawCaller(port, head, body)
    callers.push(caller)
    return caller
  }

  function sendWhole (port: number, bytes = BODY_BYTES): RawCaller {
    return send(port, `content-length: ${bytes}\r\nconnection: close`, Buffer.alloc(bytes, 'x'))
  }

  function sendHalf (port: number): RawCaller {
    return send(port, `content-length: ${BODY_BYTES}`, Buffer.alloc(BODY_BYTES - KILOBYTE, 'x'))
  }

  // Guards against hosts that end above their memory: bodies that stopped before their end were held without a bound.
  it('are refused beyond the bound, so that their callers read it, and sound ones are served', async () => {
    const { port, requestBodies } = await startHost()
    const stopped = Array.from({ length: 12 }, () => sendHalf(port))
    await vi.waitFor(() => {
      expect(requestBodies.totalBytes).toBeLessThanOrEqual(5 * BODY_BYTES)
      expect(stopped.filter(({ status }) => status === 503).length).toBeGreaterThanOrEqual(7)
    }, WAIT_MS)
    // A caller repeats what was refused.
    await vi.waitFor(async () => {
      const whole = sendWhole(port)
      await whole.ended()
      expect(whole.status).toBe(200)
    }, WAIT_MS)
    const refused = stopped.filter(({ status }) => status === 503)
    expect(refused.every(({ received }) => received.includes('Retry-After: 0.30') && received.includes('host-memory'))).toBe(true)
    await Promise.all(refused.map(async caller => { await caller.ended() }))
    expect(refused.filter(({ isReset }) => isReset)).toEqual([])
  }, 20_000)

  // Guards against bodies that no memory can hold and that are read all the same.
  it('are refused unread if their length is above the bound', async () => {
    const { port, requestBodies } = await startHost()
    const caller = send(port, `content-length: ${6 * BODY_BYTES}`, Buffer.alloc(0))
    await vi.waitFor(() => { expect(caller.status).toBe(503) }, WAIT_MS)
    expect(requestBodies.totalBytes).toBe(0)
  })

  // Guards against a refusal of what fits a moment later, and against memory that is counted after its request has ended.
  it('wait unread for room, and are served when others have ended', async () => {
    const bodies: number[] = []
    const { port, requestBodies } = await startHost(new FakeEndpoint('e0', (request, response, body) => {
      bodies.push(body.length)
      setTimeout(() => { respondOk(request, response, '') }, 20)
    }))
    const whole = Array.from({ length: 10 }, () => sendWhole(port))
    await Promise.all(whole.map(async caller => { await caller.ended() }))
    expect(whole.map(({ status }) => status)).toEqual(whole.map(() => 200))
    expect(bodies).toEqual(whole.map(() => BODY_BYTES))
    await vi.waitFor(() => { expect(requestBodies.totalBytes).toBe(0) })
  }, 20_000)

  // Guards against small requests that are refused for large ones.
  it('have room for small ones beside large ones that stopped', async () => {
    const { port } = await startHost()
    for (let caller = 0; caller < 12; caller += 1) sendHalf(port)
    const small = Array.from({ length: 100 }, () => sendWhole(port, 2 * KILOBYTE))
    await Promise.all(small.map(async caller => { await caller.ended() }))
    expect(small.map(({ status }) => status)).toEqual(small.map(() => 200))
  }, 20_000)

  // Guards against bodies without a length that are counted only when they are complete.
  it('are bounded without an announced length', async () => {
    const { port, requestBodies } = await startHost()
    const chunk = `${BODY_BYTES.toString(16)}\r\n${'x'.repeat(BODY_BYTES)}\r\n`
    const caller = send(port, 'transfer-encoding: chunked', Buffer.from(chunk.repeat(8)))
    await vi.waitFor(() => { expect(caller.status).toBe(503) }, WAIT_MS)
    const sound = send(port, 'transfer-encoding: chunked\r\nconnection: close', Buffer.from(`${chunk}0\r\n\r\n`))
    await sound.ended()
    expect(sound.status).toBe(200)
    expect(sound.received).toContain('x'.repeat(BODY_BYTES))
    await vi.waitFor(() => { expect(requestBodies.totalBytes).toBe(0) })
  }, 20_000)
})
