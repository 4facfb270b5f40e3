import { createHash } from 'node:crypto'
import { once } from 'node:events'
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, describe, expect, it } from 'vitest'
import { WorkGate } from '@eelgrassmux/daemon/WorkGate'
import { fail, succeed } from '@eelgrassmux/schema/Result'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { CallerServer, type CallerPorts } from './CallerServer.js'
import { refuseUndispatched } from './readBody.js'

const CALL_MS = 300

const KNOWN_CREDENTIAL_HASH = createHash('sha256').update('known').digest('hex')

describe('a call to a plain service over the project\'s own interface', () => {
  let server: CallerServer | undefined
  afterEach(async () => { await server?.close() })

  // Guards against the 400 of the HTTP server for bytes behind a call, which a caller takes for the answer to that call.
  it('gets its own answer with bytes behind it that are no request', async () => {
    const plain = { handle: async () => await sleep(CALL_MS, succeed(new Response('done'))) }
    const ports = {
      configuration: () => ({ customerByCredential: () => ({ name: 'ward' }) }), isFresh: () => true, refusals: new Telemetry('test').labelledCounter('refusals', 'Refusals'), work: new WorkGate(), stop: { isStopping: false }
    }
    server = new CallerServer({} as never, plain as never, ports as unknown as CallerPorts)
    const port = await server.listen('127.0.0.1', 0)
    const socket = connect(port, '127.0.0.1')
    let received = ''
    socket.on('data', chunk => { received += String(chunk) })
    socket.write('POST /services/app/a HTTP/1.1\r\nhost: h\r\nauthorization: Bearer x\r\ncontent-length: 0\r\n\r\n')
    await sleep(CALL_MS / 3)
    socket.write('\u0000\u0001 what\r\n\r\n')
    await once(socket, 'close')
    expect(received.match(/HTTP\/1\.1 \d+/g)).toEqual(['HTTP/1.1 200'])
  })
})

describe('a call that the configuration in force does not allow', () => {
  let server: CallerServer | undefined
  afterEach(async () => { await server?.close() })

  async function call (isBehind: boolean, credential: string): Promise<{ readonly status: number, readonly run: unknown }> {
    const unknownService = refuseUndispatched({ reason: 'unknown-service', status: 404, detail: 'there is no plain service', field: 'service' })
    const ports = {
      configuration: () => ({ customerByCredential: (hash: string) => hash === KNOWN_CREDENTIAL_HASH ? { name: 'ward' } : undefined }), isFresh: () => true, isBehind: () => isBehind, refusals: new Telemetry('test').labelledCounter('refusals', 'Refusals'), work: new WorkGate(), stop: { isStopping: false }
    }
    server = new CallerServer({} as never, { handle: async () => fail(unknownService) } as never, ports as unknown as CallerPorts)
    const port = await server.listen('127.0.0.1', 0)
    const response = await fetch(`http://127.0.0.1:${port}/services/app/a`, { method: 'POST', headers: { authorization: `Bearer ${credential}` } })
    return { status: response.status, run: (await response.json() as { readonly run?: unknown }).run }
  }

  // Guards against callers whose key or service a host refuses that has not received the newest configuration yet.
  it.each([
    ['an unknown credential', 'new', false, 401], ['an unknown service', 'known', false, 404], ['an unknown credential', 'new', true, 503], ['an unknown service', 'known', true, 503]
  ])('is refused for good, or sent to another host by one that knows of a newer configuration: %s (%s, behind: %s)', async (_text, credential, isBehind, status) => {
    expect(await call(isBehind, credential)).toEqual({ status, run: 'not-run' })
  })
})
