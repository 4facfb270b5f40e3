/** Framing of log records: length, CRC-32 and payload. */
import { crc32 } from 'node:zlib'

/** Bytes before each payload. */
export const HEADER_BYTES = 8

/** Largest payload accepted when reading, in bytes; a longer length is damage. */
const MAX_PAYLOAD_BYTES = 256 * 1024 * 1024

/** What a scan of a log file found. */
export interface ScanResult {
  readonly payloads: Uint8Array[]
  /** Bytes of whole records from the start. */
  readonly validLength: number
  /** True if whole records follow a damaged one: not a torn tail. */
  readonly hasDamagedMiddle: boolean
}

/**
 * @param payload - record body
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
 * @param bytes - whole file
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
  // A plain array: what is decoded from it must not turn into the runtime's own buffer type.
  const payload = new Uint8Array(file.buffer, file.byteOffset + offset + HEADER_BYTES, length)
  return crc32(payload) === file.readUInt32LE(offset + 4) ? payload : undefined
}

/** A torn tail holds no whole record, so one found anywhere behind the damage means lost acknowledged data. */
function hasRecordAfter (file: Buffer, from: number): boolean {
  for (let offset = from; offset + HEADER_BYTES < file.length; offset += 1) {
    if (readRecord(file, offset) !== undefined) return true
  }
  return false
}
