/**
 * Bytes of load reports and of the totals that answer them.
 *
 * Names of endpoints, then whole numbers of two bytes: these datagrams go to every
 * host many times a second, and reading 98 endpoints as ordinary messages took 0.5 ms
 * where this takes hundredths. The totals are the same for all hosts and are encoded
 * once; only the sequence in front differs.
 */
import { decode, encode } from '@msgpack/msgpack'
import { z } from 'zod'
import type { EndpointWork, LoadReport, LoadTotals } from './loadReport.js'

/** Bytes of the sequence in front of totals. */
const SEQUENCE_BYTES = 4

/** Bytes of one figure. */
const FIGURE_BYTES = 2

/** Largest figure; larger ones are written as this. */
const LARGEST_FIGURE = 2 ** 16 - 1

/** Tokens are counted in blocks of an engine's memory. */
const BLOCK_TOKENS = 16

/** Between the names of endpoints. */
const SEPARATOR = ','

/** Figures of an endpoint in their order on the wire, with the unit of each. */
const FIGURES = [
  ['inFlight', 1], ['pendingTokens', BLOCK_TOKENS], ['heldTokens', BLOCK_TOKENS], ['heardAgoMs', 1], ['waitedMs', 1],
  ['avoiders', 1], ['outcomes', 1], ['failures', 1]
] as const

const ROW_BYTES = FIGURES.length * FIGURE_BYTES

const tableSchema = z.tuple([z.string(), z.instanceof(Uint8Array)])
const reportSchema = z.tuple([z.string(), z.int().min(0), tableSchema])

type Table = z.infer<typeof tableSchema>

/**
 * @param report - of one host
 * @returns its bytes
 */
export function encodeLoadReport ({ host, sequence, work }: LoadReport): Uint8Array {
  return encode([host, sequence, toTable(work)])
}

/**
 * @param bytes - of a report
 * @returns the report
 * @throws if the bytes are no report
 */
export function decodeLoadReport (bytes: Uint8Array): LoadReport {
  const [host, sequence, table] = reportSchema.parse(decode(bytes))
  return { host, sequence, work: toWork(table) }
}

/**
 * @param work - of all hosts
 * @returns bytes to follow a sequence, see {@link frameLoadTotals}
 */
export function encodeLoadTotals (work: readonly EndpointWork[]): Uint8Array {
  return encode(toTable(work))
}

/**
 * @param sequence - the asking host's report that the totals include
 * @param totals - as encoded for all hosts
 * @returns bytes of the answer
 */
export function frameLoadTotals (sequence: number, totals: Uint8Array): Buffer {
  const bytes = Buffer.allocUnsafe(SEQUENCE_BYTES + totals.length)
  bytes.writeUInt32BE(sequence, 0)
  bytes.set(totals, SEQUENCE_BYTES)
  return bytes
}

/**
 * @param bytes - of an answer
 * @returns the totals
 * @throws if the bytes are no answer
 */
export function decodeLoadTotals (bytes: Buffer): LoadTotals {
  const table = tableSchema.parse(decode(bytes.subarray(SEQUENCE_BYTES)))
  return { sequence: bytes.readUInt32BE(0), work: toWork(table) }
}

function toTable (work: readonly EndpointWork[]): Table {
  const bytes = Buffer.allocUnsafe(work.length * ROW_BYTES)
  let at = 0
  for (const entry of work) {
    for (const [figure, unit] of FIGURES) {
      bytes.writeUInt16BE(Math.min(LARGEST_FIGURE, Math.round(entry[figure] / unit)), at)
      at += FIGURE_BYTES
    }
  }
  return [work.map(entry => entry.endpoint).join(SEPARATOR), bytes]
}

function toWork ([names, figures]: Table): EndpointWork[] {
  const endpoints = names === '' ? [] : names.split(SEPARATOR)
  if (figures.length !== endpoints.length * ROW_BYTES) {
    throw new RangeError(`${endpoints.length} endpoints have ${figures.length} bytes of figures`)
  }
  const view = new DataView(figures.buffer, figures.byteOffset, figures.length)
  return endpoints.map((endpoint, row) => readRow(endpoint, view, row * ROW_BYTES))
}

function readRow (endpoint: string, view: DataView, start: number): EndpointWork {
  const figure = (column: number): number => view.getUint16(start + column * FIGURE_BYTES) * (FIGURES[column]?.[1] ?? 1)
  return {
    endpoint,
    inFlight: figure(0),
    pendingTokens: figure(1),
    heldTokens: figure(2),
    heardAgoMs: figure(3),
    waitedMs: figure(4),
    avoiders: figure(5),
    outcomes: figure(6),
    failures: figure(7)
  }
}
