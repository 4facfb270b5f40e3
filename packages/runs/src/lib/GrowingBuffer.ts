/** Collects bytes that arrive in pieces of any size. */

const EMPTY = Buffer.alloc(0)

/** Smallest capacity, in bytes. */
const MIN_CAPACITY_BYTES = 256

/** Bytes in one block of memory, which doubles when it is full, so that appending costs time in proportion to the bytes. */
export class GrowingBuffer {
  #block: Buffer = EMPTY
  #length = 0

  /** Number of bytes. */
  get length (): number { return this.#length }

  /** Memory that the bytes occupy, in bytes. */
  get capacity (): number { return this.#block.length }

  /** @param bytes - bytes to append; they are copied */
  append (bytes: Buffer): void {
    if (bytes.length === 0) return
    this.#reserve(this.#length + bytes.length)
    bytes.copy(this.#block, this.#length)
    this.#length += bytes.length
  }

  /** @returns all bytes; the buffer is empty then */
  take (): Buffer {
    const bytes = this.#block.subarray(0, this.#length)
    this.clear()
    return bytes
  }

  /** Drops all bytes. */
  clear (): void {
    this.#block = EMPTY
    this.#length = 0
  }

  #reserve (length: number): void {
    if (length <= this.#block.length) return
    const block = Buffer.allocUnsafeSlow(Math.max(length, MIN_CAPACITY_BYTES, 2 * this.#block.length))
    this.#block.copy(block, 0, 0, this.#length)
    this.#block = block
  }
}
