/** Turns a run's pieces into a response body that follows the caller's pace. */
import type { RunPiece } from '../runs/Run.js'
import { renderPiece, type AnswerHeader } from './completionFormat.js'

/** Response headers of every event stream. */
const STREAM_HEADERS = { 'content-type': 'text/event-stream', 'cache-control': 'no-store' }

/**
 * Streams pieces to a caller.
 *
 * @param header - what all parts share
 * @param pieces - from the wanted offset on
 * @param offset - first token sent
 * @param onGone - called when the caller has left
 * @returns the response
 */
export function streamResponse (header: AnswerHeader, pieces: AsyncGenerator<RunPiece>, offset: number, onGone: () => void): Response {
  const encoder = new TextEncoder()
  let length = offset
  const body = new ReadableStream<Uint8Array>({
    async pull (controller) {
      const next = await pieces.next()
      if (next.done === true) {
        controller.close()
        return
      }
      if (next.value.kind === 'tokens') length += next.value.tokens.length
      controller.enqueue(encoder.encode(renderPiece(header, next.value, length)))
    },
    cancel () {
      onGone()
    }
  })
  return new Response(body, { headers: { ...STREAM_HEADERS, 'eelgrassmux-run-id': header.runId } })
}
