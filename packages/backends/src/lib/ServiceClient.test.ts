import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { RUN_STATE_HEADER, ServiceClient } from './ServiceClient.js'

const CALL = { method: 'GET', path: '/', contentType: undefined, body: undefined, timeoutMs: 1000 }

describe('ServiceClient', () => {
  let server: Server | undefined
  let client: ServiceClient | undefined
  afterEach(async () => {
    await client?.close()
    server?.close()
  })

  /** What a call comes to at an endpoint that does not start it. */
  async function callRejectingEndpoint (status: number, headers: Readonly<Record<string, string>>): Promise<unknown> {
    const listening = createServer((_request, response) => {
      response.writeHead(status, { [RUN_STATE_HEADER]: 'not-run', ...headers })
      response.end()
    })
    server = listening
    await new Promise<void>(resolve => { listening.listen(0, '127.0.0.1', resolve) })
    client = new ServiceClient(`127.0.0.1:${(listening.address() as AddressInfo).port}`)
    const answer = await client.call(CALL)
    return answer.ok ? undefined : answer.error
  }

  // Guards against an endpoint that is full for a moment being taken for one that leaves for good.
  it('tells an endpoint that asks for a pause from one that leaves', async () => {
    expect(await callRejectingEndpoint(503, { 'retry-after': '2' })).toEqual({ kind: 'not-started', reason: 'full', retryAfterMs: 2000 })
  })

  it('takes a rejection without a pause for that of an endpoint that leaves', async () => {
    expect(await callRejectingEndpoint(503, {})).toEqual({ kind: 'not-started', reason: 'leaving' })
  })

  it('reads a pause beside any status', async () => {
    expect(await callRejectingEndpoint(429, { 'retry-after': '0.5' })).toEqual({ kind: 'not-started', reason: 'full', retryAfterMs: 500 })
    expect(await callRejectingEndpoint(429, {})).toEqual({ kind: 'not-started', reason: 'other' })
  })
})
