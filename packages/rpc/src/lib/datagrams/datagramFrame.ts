/** What stands in front of every datagram: the kind of question, and which one it is. */

/** Bytes of the frame: the kind, and a number of four bytes. */
const FRAME_BYTES = 5

/** Numbers of questions wrap around here. */
export const SEQUENCE_RANGE = 2 ** 32

/** A datagram taken apart. */
export interface DatagramFrame {
  readonly kind: number
  /** Chosen by who asks, and repeated in the answer. */
  readonly sequence: number
  readonly payload: Buffer
}

/**
 * @param kind - of the question
 * @param sequence - of the question
 * @param payload - its message, or that of its answer
 * @returns the datagram
 */
export function encodeFrame (kind: number, sequence: number, payload: Uint8Array): Buffer {
  const bytes = Buffer.allocUnsafe(FRAME_BYTES + payload.length)
  bytes.writeUInt8(kind, 0)
  bytes.writeUInt32BE(sequence, 1)
  bytes.set(payload, FRAME_BYTES)
  return bytes
}

/**
 * @param bytes - a datagram
 * @returns its parts, or undefined if it is too short for a frame
 */
export function decodeFrame (bytes: Buffer): DatagramFrame | undefined {
  if (bytes.length < FRAME_BYTES) return undefined
  return { kind: bytes.readUInt8(0), sequence: bytes.readUInt32BE(1), payload: bytes.subarray(FRAME_BYTES) }
}
