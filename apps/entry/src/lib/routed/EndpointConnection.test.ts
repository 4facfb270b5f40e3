import { createServer, type Server, type Socket } from 'node:net'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, describe, expect, it } from 'vitest'
import { EndpointConnection } from './EndpointConnection.js'

interface Outcome {
  readonly kind: 'complete' | 'failed'
  readonly status: number | undefined
  readonly body: string
}

describe('EndpointConnection', () => {
  let server: Server | undefined
  let establishedMs: number[] = []

  afterEach(() => {
    server?.close()
    establishedMs = []
  })

  async function respondWith (respond: (socket: Socket) => void, onSent: () => void = () => {}, maySend = true): Promise<Outcome> {
    const listening = createServer(socket => {
      socket.on('error', () => {})
      socket.once('data', () => { respond(socket) })
    })
    server = listening
    await new Promise<void>(resolve => { listening.listen(0, '127.0.0.1', resolve) })
    const connection = new EndpointConnection(`127.0.0.1:${(listening.address() as AddressInfo).port}`, () => {}, milliseconds => { establishedMs.push(milliseconds) })
    let status: number | undefined
    const body: Buffer[] = []
    const kind = await new Promise<Outcome['kind']>(resolve => {
      connection.send({ method: 'GET', target: '/a', headers: ['host', 'h'], body: undefined }, {
        sending: () => maySend,
        head: receivedStatus => { status = receivedStatus },
        data: chunk => {
          body.push(chunk)
          return true
        },
        complete: () => { resolve('complete') },
        failed: () => { resolve('failed') }
      })
      onSent()
    })
    connection.close()
    return { kind, status, body: Buffer.concat(body).toString() }
  }

  // Guards against a request that is sent over a connection which was established after the request had ended.
  it('sends nothing of a request that may not be sent any more', async () => {
    let received = 0
    const outcome = await respondWith(() => { received += 1 }, undefined, false)
    expect({ kind: outcome.kind, received }).toEqual({ kind: 'failed', received: 0 })
  })

  describe('a response without a length', () => {
    it('is complete if the connection ends in order', async () => {
      const outcome = await respondWith(socket => { socket.end('HTTP/1.1 200 OK\r\n\r\nwhole') })
      expect(outcome).toEqual({ kind: 'complete', status: 200, body: 'whole' })
    })

    it('is not complete if the connection is reset after its bytes', async () => {
      const outcome = await respondWith(socket => {
        socket.write('HTTP/1.1 200 OK\r\n\r\nhalf')
        void sleep(30).then(() => { socket.resetAndDestroy() })
      })
      expect(outcome.kind).toBe('failed')
    })

    it('is not complete if the reset arrives together with its bytes', async () => {
      const outcome = await respondWith(socket => {
        socket.write('HTTP/1.1 200 OK\r\n\r\nhalf', () => { socket.resetAndDestroy() })
      })
      expect(outcome.kind).toBe('failed')
    })
  })

  describe('a response with a length', () => {
    it('is not complete if the connection ends inside it', async () => {
      const outcome = await respondWith(socket => { socket.end('HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf') })
      expect(outcome.kind).toBe('failed')
    })

    it('is not complete if the connection ends inside it, also with Connection: close', async () => {
      const outcome = await respondWith(socket => { socket.end('HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 9\r\n\r\nhalf') })
      expect(outcome.kind).toBe('failed')
    })

    it('is not complete if it is chunked and its last chunk is missing', async () => {
      const outcome = await respondWith(socket => {
        socket.end('HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n')
      })
      expect(outcome.kind).toBe('failed')
    })
  })

  // Guards against endpoints that count as unreachable because this process was busy while the connection was established.
  it('is established although the event loop is blocked for longer than the connect timeout', async () => {
    const block = (): void => {
      const endsAt = performance.now() + 400
      while (performance.now() < endsAt);
    }
    // In the third tick the connection has been requested, and its establishment has not been read yet.
    const blockSoon = (): void => { process.nextTick(() => { process.nextTick(() => { process.nextTick(block) }) }) }
    const outcome = await respondWith(socket => { socket.end('HTTP/1.1 200 OK\r\n\r\nwhole') }, blockSoon)
    expect(outcome).toEqual({ kind: 'complete', status: 200, body: 'whole' })
  })

  it('reports once how long it took to establish, without the time of the response', async () => {
    await respondWith(socket => { void sleep(300).then(() => { socket.end('HTTP/1.1 200 OK\r\n\r\nwhole') }) })
    expect(establishedMs.length).toBe(1)
    expect(establishedMs[0]).toBeLessThan(300)
  })
})
