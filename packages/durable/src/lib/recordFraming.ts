/** Framing of log records; each is its length, a CRC-32 and its payload. */
import { crc32 } from 'node:zlib'

/** Size of the header before each payload, in bytes. */
export const HEADER_BYTES = 8

/** Largest payload accepted when reading, in bytes; a larger length means that the record is damaged. */
const MAX_PAYLOAD_BYTES = 256 * 1024 * 1024

/** Result of scanning a log file. */
export interface ScanResult {
  readonly payloads: Uint8Array[]
  /** Number of bytes at the start of the file that hold valid records. */
  readonly validLength: number
  /** True if valid records follow a damaged one, so that the damage is not a torn tail. */
  readonly hasDamagedMiddle: boolean
}

/**
 * Adds the header to a payload.
 *
 * @param payload - payload of the record
 * @returns the framed record
 */
export function frameRecord (payload: Uint8Array): Uint8Array {
  const framed = Buffer.allocUnsafe(HEADER_BYTES + payload.length)
  framed.writeUInt32LE(payload.length, 0)
  framed.writeUInt32LE(crc32(payload), 4)
  framed.set(payload, HEADER_BYTES)
  return framed
}

/**
 * Reads records up to the first that is torn or damaged.
 *
 * @param bytes - contents of the whole file
 * @returns the records, and whether what follows them is a torn tail or damage
 */
export function scanRecords (bytes: Uint8Array): ScanResult {
  const file = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength)
  const payloads: Uint8Array[] = []
  let offset = 0
  for (;;) {
    const payload = readRecord(file, offset)
    if (payload === undefined) break
    payloads.push(payload)
    offset += HEADER_BYTES + payload.length
  }
  return { payloads, validLength: offset, hasDamagedMiddle: hasRecordAfter(file, offset + 1) }
}

function readRecord (file: Buffer, offset: number): Uint8Array | undefined {
  if (offset + HEADER_BYTES > file.length) return undefined
  const length = file.readUInt32LE(offset)
  const end = offset + HEADER_BYTES + length
  if (length === 0 || length > MAX_PAYLOAD_BYTES || end > file.length) return undefined
  // A plain Uint8Array, so that byte fields decoded from it do not become Node.js Buffers.
  const payload = new Uint8Array(file.buffer, file.byteOffset + offset + HEADER_BYTES, length)
  return crc32(payload) === file.readUInt32LE(offset + 4) ? payload : undefined
}

/** A torn tail holds no valid record, so a valid record anywhere after the damage means that acknowledged data is lost. */
function hasRecordAfter (file: Buffer, from: number): boolean {
  for (let offset = from; offset + HEADER_BYTES < file.length; offset += 1) {
    if (readRecord(file, offset) !== undefined) return true
  }
  return false
}
