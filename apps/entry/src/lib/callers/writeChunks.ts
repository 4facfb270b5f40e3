/** Writes chunks received from another entry host to a caller's connection. */
import { once } from 'node:events'
import type { ServerResponse } from 'node:http'
import type { RunChunk } from '../runs/Run.js'
import { renderChunk, type AnswerHeader } from './completionFormat.js'
import { STREAM_HEADERS } from './writeRun.js'

/**
 * Writes all chunks, and waits while the caller's connection is full.
 *
 * @param chunks - chunks of the run, starting at the requested offset
 * @param header - fields shared by all events
 * @param offset - offset of the first token
 * @param response - response of the caller's request
 */
export async function writeChunks (chunks: AsyncGenerator<RunChunk>, header: AnswerHeader, offset: number, response: ServerResponse): Promise<void> {
  if (response.destroyed) return
  response.writeHead(200, { ...STREAM_HEADERS, 'eelgrassmux-run-id': header.runId })
  const disconnected = new AbortController()
  response.once('close', () => { disconnected.abort() })
  let length = offset
  for await (const chunk of chunks) {
    if (chunk.kind === 'tokens') length += chunk.tokens.length
    if (response.write(renderChunk(header, chunk, length))) continue
    await once(response, 'drain', { signal: disconnected.signal }).catch(() => {})
    if (response.destroyed) return
  }
  await new Promise<void>(resolve => { response.end(resolve) })
}
