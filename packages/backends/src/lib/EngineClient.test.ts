import { createServer, type Server } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, describe, expect, it } from 'vitest'
import { EngineClient } from './EngineClient.js'

const FULL = JSON.stringify({ error: 'full' })
const REJECTION = `HTTP/1.1 503 Full\r\ncontent-type: application/json\r\ncontent-length: ${FULL.length}\r\n\r\n${FULL}`

describe('EngineClient', () => {
  let server: Server | undefined
  let client: EngineClient | undefined
  afterEach(async () => {
    await client?.close()
    server?.closeAllConnections()
    server?.close()
  })

  // Guards against a copy of the rejection of an earlier run that is believed for the run that goes on.
  it('does not take the second rejection of a run for the rejection of the next one', async () => {
    let rejectedOn: Socket | undefined
    const listening = createServer((request, response) => {
      if (rejectedOn === undefined) {
        rejectedOn = request.socket
        request.socket.write(REJECTION)
        return
      }
      if (request.socket === rejectedOn) request.socket.write(REJECTION)
      response.writeHead(200, { 'content-type': 'text/event-stream' })
      response.end()
    })
    server = listening
    await new Promise<void>(resolve => { listening.listen(0, '127.0.0.1', resolve) })
    const engine = new EngineClient(`127.0.0.1:${(listening.address() as AddressInfo).port}`)
    client = engine
    const start = async (run: string): Promise<boolean> => (await engine.startRun({ run, prompt: 'p', maxTokens: 1, priority: 0, cacheSalt: '', expectedVersion: '1', produced: [] }, 1000, new AbortController().signal)).ok
    expect(await start('a')).toBe(false)
    // The connection is idle again.
    await sleep(20)
    expect(await start('b')).toBe(true)
  })
})
