import { once } from 'node:events'
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, describe, expect, it } from 'vitest'
import { WorkGate } from '@eelgrassmux/daemon/WorkGate'
import { succeed } from '@eelgrassmux/schema/Result'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { CallerServer, type CallerPorts } from './CallerServer.js'

const CALL_MS = 300

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
