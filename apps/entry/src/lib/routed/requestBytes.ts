/** Reads the bytes of callers' requests. */
import type { IncomingMessage } from 'node:http'
import type { CallerExchange } from './CallerExchange.js'
import type { RequestBody } from './RequestBodies.js'

/** Receives the body of a request. One of the functions is called at most, and none if the exchange has ended. */
export interface BodyHandler {
  /** Called as soon as the body is known to exceed the limit. */
  tooLarge (): void
  /** @param body - complete body; undefined if the request has none */
  complete (body: Buffer | undefined): void
}

/** Room that a body of unknown length gets first, in bytes. */
const FIRST_ROOM_BYTES = 16 * 1024

/** Growth of the room of a body of unknown length, as a factor. */
const GROWTH_FACTOR = 2

/**
 * @param message - request of a caller
 * @param exchange - its exchange
 * @param limit - largest body, in bytes
 * @param room - memory of the body
 * @param handler - receives the body
 */
export function readBody (message: IncomingMessage, exchange: Pick<CallerExchange, 'hasEnded'>, limit: number, room: RequestBody, handler: BodyHandler): void {
  const { 'content-length': contentLength, 'transfer-encoding': encoding } = message.headers
  if (Number(contentLength ?? 0) > limit) {
    handler.tooLarge()
    return
  }
  if (contentLength !== undefined) readKnownLength(message, exchange, Number(contentLength), room, handler)
  else if (encoding !== undefined) readChunks(message, exchange, limit, room, handler)
  else onComplete(message, exchange, () => { handler.complete(undefined) })
}

/** Copies the chunks of a large body into one buffer as they arrive, because joining them at the end would need the memory twice. */
function readKnownLength (message: IncomingMessage, exchange: Pick<CallerExchange, 'hasEnded'>, length: number, room: RequestBody, handler: BodyHandler): void {
  let body: Buffer | undefined
  let bytes = 0
  room.take(length, () => {
    onComplete(message, exchange, () => {
      room.noteComplete()
      handler.complete(body ?? Buffer.alloc(0))
    })
    message.on('data', (chunk: Buffer) => {
      if (exchange.hasEnded) {
        body = undefined
        return
      }
      room.noteProgress()
      if (chunk.length === length) {
        body = chunk
        return
      }
      body ??= Buffer.allocUnsafeSlow(length)
      bytes += chunk.copy(body, bytes)
    })
  })
}

function readChunks (message: IncomingMessage, exchange: Pick<CallerExchange, 'hasEnded'>, limit: number, room: RequestBody, handler: BodyHandler): void {
  let body = Buffer.alloc(0)
  let bytes = 0
  const append = (chunk: Buffer): void => { bytes += chunk.copy(body, bytes) }
  const growFor = (chunk: Buffer): void => {
    const length = Math.min(limit, Math.max(GROWTH_FACTOR * body.length, bytes + chunk.length))
    message.pause()
    room.take(length, () => {
      const grown = Buffer.allocUnsafeSlow(length)
      body.copy(grown, 0, 0, bytes)
      body = grown
      append(chunk)
      message.resume()
    })
  }
  room.take(FIRST_ROOM_BYTES, () => {
    body = Buffer.allocUnsafeSlow(Math.min(limit, FIRST_ROOM_BYTES))
    onComplete(message, exchange, () => {
      room.noteComplete()
      handler.complete(body.subarray(0, bytes))
    })
    message.on('data', (chunk: Buffer) => {
      if (exchange.hasEnded) {
        body = Buffer.alloc(0)
        return
      }
      room.noteProgress()
      if (bytes + chunk.length > limit) handler.tooLarge()
      else if (bytes + chunk.length > body.length) growFor(chunk)
      else append(chunk)
    })
  })
}

/** Reads on until the request is complete. */
function onComplete (message: IncomingMessage, exchange: Pick<CallerExchange, 'hasEnded'>, complete: () => void): void {
  message.on('end', () => {
    if (!exchange.hasEnded) complete()
  })
  message.resume()
}

/**
 * @param message - request of a caller
 * @returns bytes of its headers
 */
export function headerBytes ({ rawHeaders }: IncomingMessage): number {
  // Two bytes between name and value, two at the end of each line.
  return rawHeaders.reduce((sum, part) => sum + part.length + 2, 0)
}
