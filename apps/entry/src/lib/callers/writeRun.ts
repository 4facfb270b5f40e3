/**
 * Writes a run to a caller's connection as server-sent events.
 *
 * Tokens go from the run to the socket without an intermediate stream. With 200
 * concurrent streams the decoding steps of all of them arrive at once, and each
 * additional layer would delay the first token of the last caller.
 */
import type { ServerResponse } from 'node:http'
import type { Run } from '../runs/Run.js'
import { renderChunk, type AnswerHeader } from './completionFormat.js'

/** Response headers of every event stream. */
export const STREAM_HEADERS = { 'content-type': 'text/event-stream', 'cache-control': 'no-store' } as const

/**
 * Writes the run from an offset to its end, and waits while the caller's connection is full.
 *
 * @param run - run to write
 * @param header - fields shared by all events
 * @param offset - offset of the first token
 * @param response - response of the caller's request
 * @returns once everything is written or the caller has disconnected
 */
export async function writeRun (run: Run, header: AnswerHeader, offset: number, response: ServerResponse): Promise<void> {
  if (response.destroyed) return
  response.writeHead(200, { ...STREAM_HEADERS, 'eelgrassmux-run-id': header.runId })
  await new Promise<void>(resolve => {
    let position = offset
    let isBlocked = false
    const reader = run.attach(position, () => { pump() })
    const finish = (): void => {
      reader.detach()
      response.off('drain', onDrain)
      response.off('close', finish)
      resolve()
    }
    const onDrain = (): void => {
      isBlocked = false
      pump()
    }
    const pump = (): void => {
      while (!isBlocked) {
        const chunk = run.chunkFrom(position)
        if (chunk === undefined) return
        if (chunk.kind === 'tokens') position += chunk.tokens.length
        isBlocked = !response.write(renderChunk(header, chunk, position))
        reader.advance(position, chunk.kind !== 'tokens')
        if (chunk.kind === 'tokens') continue
        response.end(finish)
        return
      }
    }
    response.on('drain', onDrain)
    response.on('close', finish)
    pump()
  })
}
