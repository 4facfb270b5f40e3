/** Writes chunks that come from another entry host to a caller's connection. */
import { once } from 'node:events'
import type { ServerResponse } from 'node:http'
import type { RunChunk } from '../runs/Run.js'
import { renderChunk, type AnswerHeader } from './completionFormat.js'
import { STREAM_HEADERS } from './writeRun.js'

/**
 * Writes all chunks, at the caller's pace.
 *
 * @param chunks - from the wanted offset on
 * @param header - what all parts share
 * @param offset - first token written
 * @param response - the caller's connection
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
