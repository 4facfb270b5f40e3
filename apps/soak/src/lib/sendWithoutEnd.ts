/** Sends an answer that has no end, at a limited rate, until the connection is closed. */
import type { ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import type { EndlessPart } from './standinProtocol.js'

/** Bytes of each write, and the pause between two writes, in milliseconds: 1.6 MB a second. */
const WRITE_BYTES = 16 * 1024
const WRITE_INTERVAL_MS = 10

/**
 * @param response - response to send, of which nothing has been sent
 * @param part - part of the answer that has no end
 * @param status - status of the answer
 * @param fields - header fields of the answer
 * @returns number of bytes that were written before the connection was closed
 */
export async function sendWithoutEnd (response: ServerResponse, part: EndlessPart, status: number, fields: Readonly<Record<string, string>>): Promise<number> {
  const { socket } = response
  if (socket === null) return 0
  const bytesBefore = socket.bytesWritten
  const head = [`HTTP/1.1 ${status} x`, ...Object.entries(fields).map(([name, value]) => `${name}: ${value}`)]
  socket.write(`${head.join('\r\n')}\r\n${part === 'head' ? '' : 'connection: close\r\n\r\ndata: '}`)
  const filler = part === 'head' ? `filler: ${'x'.repeat(WRITE_BYTES)}\r\n` : 'x'.repeat(WRITE_BYTES)
  while (!socket.destroyed) {
    if (!socket.writableNeedDrain) socket.write(filler)
    await sleep(WRITE_INTERVAL_MS)
  }
  return socket.bytesWritten - bytesBefore
}
