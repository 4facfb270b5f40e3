/**
 * Writes a run to a caller's connection as server-sent events.
 *
 * Tokens go from the run to the socket without a stream between: at 200 streams
 * the steps of all of them come at once, and each layer in between would add to
 * the time until the last caller has its first token.
 */
import type { ServerResponse } from 'node:http'
import type { Run } from '../runs/Run.js'
import { renderChunk, type AnswerHeader } from './completionFormat.js'

/** Response headers of every event stream. */
export const STREAM_HEADERS = { 'content-type': 'text/event-stream', 'cache-control': 'no-store' } as const

/**
 * Writes everything from an offset on, at the caller's pace.
 *
 * @param run - what to write
 * @param header - what all parts share
 * @param offset - first token wanted
 * @param response - the caller's connection
 * @returns resolves when all was written or the caller has left
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
