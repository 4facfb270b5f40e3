import { connect, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, describe, expect, it, vi } from 'vitest'
import { FakeEndpoint, respondOk } from './harness/FakeEndpoint.js'
import { RoutedHost } from './harness/RoutedHost.js'
import { TEST_SITE } from './harness/testSite.js'
import { callerConnectionsBound } from './CallerConnections.js'

const BOUND = 8

/** Time after which an idle connection may be closed, with a margin, in milliseconds. */
const IDLE_MS = 1200

/** Time in which everything that a test waits for happens, in milliseconds. */
const WAIT_MS = 5000

describe('connections of callers', () => {
  let host: RoutedHost | undefined
  const sockets: Socket[] = []
  afterEach(async () => {
    for (const socket of sockets.splice(0)) socket.destroy()
    await host?.close()
  })

  async function startHost (endpoint: FakeEndpoint): Promise<RoutedHost> {
    const site = { ...TEST_SITE, routes: TEST_SITE.routes.map(route => ({ ...route, timeoutMs: 60_000 })) }
    host = new RoutedHost([endpoint], { site, connections: BOUND })
    await host.start()
    return host
  }

  async function open (port: number): Promise<Socket> {
    const socket = connect({ host: '127.0.0.1', port })
    socket.on('error', () => {})
    socket.resume()
    sockets.push(socket)
    await new Promise<void>(resolve => { socket.once('connect', resolve) })
    return socket
  }

  // Guards against a host that ends above its memory, or accepts nobody, because idle connections have taken all of it.
  it('are closed when they have been idle longest, and new ones are served', async () => {
    const started = await startHost(new FakeEndpoint('e0', respondOk))
    const idle: Socket[] = []
    for (let count = 0; count < BOUND; count += 1) idle.push(await open(started.port))
    await sleep(IDLE_MS)
    expect((await started.sendRequest('/safe/a')).status).toBe(200)
    await vi.waitFor(() => { expect(idle.map(({ closed }) => closed)).toEqual([true, ...Array.from({ length: BOUND - 1 }, () => false)]) }, WAIT_MS)
  })

  // Guards against a request that is cut for a new connection.
  it('stay open while they have a request', async () => {
    let release = (): void => {}
    const released = new Promise<void>(resolve => { release = resolve })
    const started = await startHost(new FakeEndpoint('e0', (request, response, body) => { void released.then(() => { respondOk(request, response, body) }) }))
    const pending = Array.from({ length: BOUND }, async () => await started.sendRequest('/unsafe/a'))
    await vi.waitFor(() => { expect(started.server.openConnections).toBe(BOUND) }, WAIT_MS)
    await sleep(IDLE_MS)
    expect((await started.sendRequest('/safe/a')).status).toBe(0)
    release()
    expect((await Promise.all(pending)).map(({ status }) => status)).toEqual(pending.map(() => 200))
  })

  it('have a bound that follows the memory and the open files of the host', () => {
    expect(callerConnectionsBound(200, 1000)).toBe(500)
    expect(callerConnectionsBound(350, Number.POSITIVE_INFINITY)).toBeGreaterThan(callerConnectionsBound(178, Number.POSITIVE_INFINITY))
  })
})
