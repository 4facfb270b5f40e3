/** Writes pieces that come from another entry host to a caller's connection. */
import { once } from 'node:events'
import type { ServerResponse } from 'node:http'
import type { RunPiece } from '../runs/Run.js'
import { renderPiece, type AnswerHeader } from './completionFormat.js'
import { STREAM_HEADERS } from './writeRun.js'

/**
 * Writes all pieces, at the caller's pace.
 *
 * @param pieces - from the wanted offset on
 * @param header - what all parts share
 * @param offset - first token written
 * @param response - the caller's connection
 */
export async function writePieces (pieces: AsyncGenerator<RunPiece>, header: AnswerHeader, offset: number, response: ServerResponse): Promise<void> {
  if (response.destroyed) return
  response.writeHead(200, { ...STREAM_HEADERS, 'eelgrassmux-run-id': header.runId })
  const gone = new AbortController()
  response.once('close', () => { gone.abort() })
  let length = offset
  for await (const piece of pieces) {
    if (piece.kind === 'tokens') length += piece.tokens.length
    if (response.write(renderPiece(header, piece, length))) continue
    await once(response, 'drain', { signal: gone.signal }).catch(() => {})
    if (response.destroyed) return
  }
  await new Promise<void>(resolve => { response.end(resolve) })
}
