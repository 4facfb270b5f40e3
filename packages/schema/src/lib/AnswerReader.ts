/** Reads whole answers of other programs into memory, within bounds. */

/** Most bytes of one answer, and of all answers that are read at the same time. */
export interface AnswerBounds {
  readonly answerBytes: number
  readonly totalBytes: number
}

/** Body of an answer; the connection is closed if it is not read to its end. */
export type AnswerBody = AsyncIterable<Uint8Array>

/** Counts the bytes of all answers that are being read. */
export class AnswerReader {
  #totalBytes = 0

  /** @param bounds - bounds on the bytes */
  constructor (private readonly bounds: AnswerBounds) {}

  /** Bytes of the answers that are being read. */
  get totalBytes (): number { return this.#totalBytes }

  /**
   * @param body - body to read
   * @param answerBytes - most bytes of this answer
   * @returns the body as text
   * @throws if a bound is exceeded or the body breaks off
   */
  async readText (body: AnswerBody, answerBytes = this.bounds.answerBytes): Promise<string> {
    const chunks: Uint8Array[] = []
    let bytes = 0
    try {
      for await (const chunk of body) {
        bytes += chunk.length
        this.#totalBytes += chunk.length
        if (bytes > answerBytes) throw new Error(`the answer has more than ${answerBytes} bytes`)
        if (this.#totalBytes > this.bounds.totalBytes) throw new Error(`answers that are read at the same time have more than ${this.bounds.totalBytes} bytes`)
        chunks.push(chunk)
      }
      return Buffer.concat(chunks).toString('utf8')
    } finally {
      this.#totalBytes -= bytes
    }
  }
}
