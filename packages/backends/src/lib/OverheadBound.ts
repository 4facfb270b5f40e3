/** Bounds the bytes of a response that carry no content: heads, informational responses, extensions of chunks, trailers. */
import type { Socket } from 'node:net'

/** Most bytes that a back end may send without progress: before the head of its response is complete, and between two pieces of its body. */
const MAX_BYTES_WITHOUT_PROGRESS = 128 * 1024

/** Follows the responses on one connection, and ends it if bytes come without end in place of content. */
export class OverheadBound {
  #socket: Socket | undefined
  /** Bytes that had been read when the pending request was sent, or when the last part of its response came; undefined while no request is pending. */
  #readAtProgress: number | undefined

  /** @param socket - connection that has not been given to the HTTP client yet */
  watch (socket: Socket): void {
    this.#socket = socket
    socket.on('readable', () => { this.#check(socket) })
  }

  /** Must be called when a request is sent, and when the head or a piece of the body of its response has come. */
  noteProgress (): void {
    this.#readAtProgress = this.#socket?.bytesRead
  }

  /** Must be called when the response is complete. */
  end (): void {
    this.#readAtProgress = undefined
  }

  #check (socket: Socket): void {
    if (this.#readAtProgress === undefined || socket.bytesRead - this.#readAtProgress <= MAX_BYTES_WITHOUT_PROGRESS) return
    socket.destroy(new Error('the response has too many bytes without content'))
  }
}
