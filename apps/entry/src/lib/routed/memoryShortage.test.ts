import type { ServerResponse } from 'node:http'
import { afterEach, describe, expect, it, vi } from 'vitest'
import { FakeEndpoint } from './harness/FakeEndpoint.js'
import { RoutedHost } from './harness/RoutedHost.js'

/** More requests than a host goes on with while it is short of memory. */
const CALLERS = 40

describe('a host that is short of memory', () => {
  let host: RoutedHost | undefined
  afterEach(async () => { await host?.close() })

  async function startHost (memory: { isShedding: boolean }): Promise<{ readonly running: RoutedHost, readonly waiting: ServerResponse[] }> {
    const waiting: ServerResponse[] = []
    host = new RoutedHost([new FakeEndpoint('e0', (_request, response) => { waiting.push(response) })], { memory })
    await host.start()
    return { running: host, waiting }
  }

  // Guards against a host that takes on requests until it is killed with all that are under way.
  it('refuses further requests at once, and completes those under way', async () => {
    const memory = { isShedding: false }
    const { running, waiting } = await startHost(memory)
    const underWay = Array.from({ length: CALLERS }, async () => await running.sendRequest('/safe/a'))
    await vi.waitFor(() => { expect(waiting).toHaveLength(CALLERS) }, { timeout: 8000 })
    memory.isShedding = true
    const refused = await running.sendRequest('/safe/a')
    expect([refused.status, Number(refused.retryAfter) > 0, refused.body]).toEqual([503, true, expect.stringContaining('host-memory')])
    for (const response of waiting) response.end('served')
    expect(new Set((await Promise.all(underWay)).map(({ status }) => status))).toEqual(new Set([200]))
  })

  // Guards against a host that refuses everything for good because its memory stays above the mark without any requests.
  it('goes on with a few requests', async () => {
    const { running, waiting } = await startHost({ isShedding: true })
    const served = running.sendRequest('/safe/a')
    await vi.waitFor(() => { expect(waiting).toHaveLength(1) }, { timeout: 8000 })
    waiting[0]?.end('served')
    expect((await served).status).toBe(200)
  })
})
