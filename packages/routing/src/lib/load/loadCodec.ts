/**
 * Bytes of load reports and of the totals that answer them.
 *
 * Written in columns, because the names of fields would be most of a datagram
 * that goes to every host many times a second: 98 endpoints take 3 KB and not 16.
 * The totals are the same for all hosts and are encoded once; only the sequence
 * in front differs.
 */
import { decode, encode } from '@msgpack/msgpack'
import { z } from 'zod'
import { NO_WORK, type EndpointWork, type LoadReport, type LoadTotals } from './loadReport.js'

/** Bytes of the sequence in front of totals. */
const SEQUENCE_BYTES = 4

const endpointColumn = z.array(z.string())
const countColumn = z.array(z.number().min(0))

/** Order of the columns behind that of endpoints. */
const FIGURES = ['inFlight', 'pendingTokens', 'heldTokens', 'heardAgoMs', 'waitedMs', 'avoiders', 'outcomes', 'failures'] as const

const columnsSchema = z.tuple([endpointColumn], countColumn).refine(
  ([endpoints, ...counts]) => counts.length === FIGURES.length && counts.every(column => column.length === endpoints.length),
  'there is one column a figure, and all have one entry an endpoint'
)
const reportSchema = z.tuple([z.string(), z.int().min(0), columnsSchema])

type Columns = z.infer<typeof columnsSchema>

/**
 * @param report - of one host
 * @returns its bytes
 */
export function encodeLoadReport ({ host, sequence, work }: LoadReport): Uint8Array {
  return encode([host, sequence, toColumns(work)])
}

/**
 * @param bytes - of a report
 * @returns the report
 * @throws if the bytes are no report
 */
export function decodeLoadReport (bytes: Uint8Array): LoadReport {
  const [host, sequence, columns] = reportSchema.parse(decode(bytes))
  return { host, sequence, work: toWork(columns) }
}

/**
 * @param work - of all hosts
 * @returns bytes to follow a sequence, see {@link frameLoadTotals}
 */
export function encodeLoadTotals (work: readonly EndpointWork[]): Uint8Array {
  return encode(toColumns(work))
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
  const columns = columnsSchema.parse(decode(bytes.subarray(SEQUENCE_BYTES)))
  return { sequence: bytes.readUInt32BE(0), work: toWork(columns) }
}

function toColumns (work: readonly EndpointWork[]): Columns {
  return [work.map(entry => entry.endpoint), ...FIGURES.map(figure => work.map(entry => Math.round(entry[figure])))]
}

function toWork ([endpoints, ...counts]: Columns): EndpointWork[] {
  return endpoints.map((endpoint, row) => {
    const figures = Object.fromEntries(FIGURES.map((figure, column) => [figure, counts[column]?.[row] ?? 0]))
    return { ...NO_WORK, ...figures, endpoint }
  })
}
