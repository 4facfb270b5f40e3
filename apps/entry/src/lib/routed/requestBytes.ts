/** Reads the bytes of callers' requests. */
import type { IncomingMessage } from 'node:http'
import type { CallerExchange } from './CallerExchange.js'

/** Receives the body of a request. One of the functions is called at most, and none if the exchange has ended. */
export interface BodyHandler {
  /** Called as soon as the body is known to exceed the limit. */
  tooLarge (): void
  /** @param body - complete body; undefined if the request has none */
  complete (body: Buffer | undefined): void
}

/**
 * @param message - request of a caller
 * @param exchange - its exchange
 * @param limit - largest body, in bytes
 * @param handler - receives the body
 */
export function readBody (message: IncomingMessage, exchange: Pick<CallerExchange, 'hasEnded'>, limit: number, handler: BodyHandler): void {
  if (Number(message.headers['content-length'] ?? 0) > limit) {
    handler.tooLarge()
    return
  }
  const chunks: Buffer[] = []
  let bytes = 0
  message.on('data', (chunk: Buffer) => {
    bytes += chunk.length
    if (exchange.hasEnded) return
    if (bytes > limit) handler.tooLarge()
    else chunks.push(chunk)
  })
  message.on('end', () => {
    if (exchange.hasEnded) return
    const hasBody = bytes > 0 || message.headers['content-length'] !== undefined || message.headers['transfer-encoding'] !== undefined
    handler.complete(hasBody ? Buffer.concat(chunks) : undefined)
  })
}

/**
 * @param message - request of a caller
 * @returns bytes of its headers
 */
export function headerBytes ({ rawHeaders }: IncomingMessage): number {
  // Two bytes between name and value, two at the end of each line.
  return rawHeaders.reduce((sum, part) => sum + part.length + 2, 0)
}
