/** Guards against a back end in trouble that sends bytes without end: all of them were read into memory, until the call timed out between two of them, which it never did. */
import { createServer, type Server, type Socket, type AddressInfo } from 'node:net'
import { once } from 'node:events'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { z } from 'zod'
import { HttpBackend } from './HttpBackend.js'

const MEBIBYTE = 1024 * 1024

/** Most bytes that may leave the server: the bound of 64 MiB, and what sockets hold. */
const MAX_SENT_BYTES = 96 * MEBIBYTE

const TIMEOUT_MS = 2000

describe('HttpBackend', () => {
  let server: Server
  let backend: HttpBackend
  let head: string
  let sentBytes: number

  /** Sends the head and then filler until the connection is closed. */
  function sendWithoutEnd (socket: Socket): void {
    const filler = Buffer.alloc(MEBIBYTE, 'x')
    socket.on('error', () => {})
    socket.once('data', () => {
      socket.write(head)
      const send = (): void => {
        while (!socket.destroyed && !socket.writableNeedDrain) {
          socket.write(filler)
          sentBytes += filler.length
        }
      }
      socket.on('drain', send)
      send()
    })
  }

  beforeEach(async () => {
    sentBytes = 0
    server = createServer(sendWithoutEnd)
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    backend = new HttpBackend(`127.0.0.1:${(server.address() as AddressInfo).port}`)
  })

  afterEach(async () => {
    await backend.close()
    server.close()
  })

  it.each([
    ['the body of an answer', 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n"'],
    ['the body of a failure', 'HTTP/1.1 500 x\r\nconnection: close\r\n\r\n'],
    ['the head', 'HTTP/1.1 200 OK\r\nfiller: '],
    ['the extension of a chunk', 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;x=']
  ])('gives up %s that has no end', async (_part, sentHead) => {
    head = sentHead
    const answer = await backend.requestJson({ method: 'GET', path: '/', timeoutMs: TIMEOUT_MS }, z.string())
    expect(answer.ok).toBe(false)
    expect(sentBytes).toBeLessThan(MAX_SENT_BYTES)
  })
})
