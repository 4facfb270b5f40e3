/** Header of every datagram: the method's kind, and the sequence number of the request. */

/** Size of the header in bytes: one for the kind, four for the sequence number. */
const FRAME_BYTES = 5

/** Sequence numbers wrap around at this value. */
export const SEQUENCE_RANGE = 2 ** 32

/** A decoded datagram. */
export interface DatagramFrame {
  readonly kind: number
  /** Chosen by the client, and copied to the response. */
  readonly sequence: number
  readonly payload: Buffer
}

/**
 * Encodes a datagram.
 *
 * @param kind - kind of the method
 * @param sequence - sequence number of the request
 * @param payload - encoded request or response
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
 * Decodes a datagram.
 *
 * @param bytes - a datagram
 * @returns its header and payload, or undefined if it is too short for a header
 */
export function decodeFrame (bytes: Buffer): DatagramFrame | undefined {
  if (bytes.length < FRAME_BYTES) return undefined
  return { kind: bytes.readUInt8(0), sequence: bytes.readUInt32BE(1), payload: bytes.subarray(FRAME_BYTES) }
}
