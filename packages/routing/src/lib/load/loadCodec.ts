/**
 * Bytes of load reports and of the totals that answer them.
 *
 * Names, then whole numbers of two bytes: these datagrams go to every host many times a
 * second, and reading 98 endpoints as ordinary messages took 0.5 ms where this takes
 * hundredths. The totals are the same for all hosts and are encoded once; only the
 * sequence in front differs.
 */
import { decode, encode } from '@msgpack/msgpack'
import { z } from 'zod'
import type { LinkFigures, LinkWork } from './linkWork.js'
import type { EndpointRateLimit, EndpointWork, LoadReport, LoadTotals, WorkFigures } from './loadReport.js'

/** Bytes of the sequence in front of totals. */
const SEQUENCE_BYTES = 4

/** Bytes of one figure. */
const FIGURE_BYTES = 2

/** Largest figure; larger ones are written as this. */
const LARGEST_FIGURE = 2 ** 16 - 1

/** Tokens are counted in blocks of an engine's memory. */
const BLOCK_TOKENS = 16

/** Bytes under way on a link are counted in these: the most that can be written are 275 GB, a minute of a fast link. */
const LINK_BLOCK_BYTES = 2 ** 22

/** Steps in which samples of a link and their doublings are counted. */
const SAMPLE_STEP = 1 / 64

/** Step in which rates of requests a second are written, and what stands for none. */
const RATE_STEP = 1 / 32
const NO_RATE = LARGEST_FIGURE * RATE_STEP

/** Between names, and what stands for it inside a name: operators name stores as they like. */
const SEPARATOR = ','
const ESCAPE = '%'
const ESCAPED_SEPARATOR = '%2C'
const ESCAPED_ESCAPE = '%25'

/** Figures of a row in their order on the wire, with the unit of each. */
type Figures<Row> = ReadonlyArray<readonly [name: keyof Row, unit: number]>

const ENDPOINT_FIGURES: Figures<WorkFigures> = [
  ['inFlight', 1], ['pendingTokens', BLOCK_TOKENS], ['heldTokens', BLOCK_TOKENS], ['lastByteAgoMs', 1], ['waitedMs', 1],
  ['avoiders', 1], ['unresponsive', 1], ['outcomes', 1], ['failures', 1]
]

const LINK_FIGURES: Figures<LinkFigures> = [
  ['pendingBytes', LINK_BLOCK_BYTES], ['samples', SAMPLE_STEP], ['slower', SAMPLE_STEP], ['faster', SAMPLE_STEP]
]

const LIMIT_FIGURES: Figures<Omit<EndpointRateLimit, 'endpoint'>> = [['requestsPerSecond', RATE_STEP], ['statedAgoMs', 1]]

const tableSchema = z.tuple([z.string(), z.instanceof(Uint8Array)])
const limitsSchema = tableSchema.optional()
const reportSchema = z.tuple([z.string(), z.int().min(0), tableSchema, tableSchema, limitsSchema])
const totalsSchema = z.tuple([tableSchema, tableSchema, limitsSchema])

type Table = z.infer<typeof tableSchema>

/**
 * @param report - of one host
 * @returns its bytes
 */
export function encodeLoadReport ({ host, sequence, work, links, limits }: LoadReport): Uint8Array {
  return encode([host, sequence, toEndpointTable(work), toLinkTable(links), ...toLimitTables(limits)])
}

/**
 * @param bytes - of a report
 * @returns the report
 * @throws if the bytes are no report
 */
export function decodeLoadReport (bytes: Uint8Array): LoadReport {
  const [host, sequence, work, links, limits] = reportSchema.parse(decode(bytes))
  return { host, sequence, work: toEndpointWork(work), links: toLinkWork(links), ...toLimits(limits) }
}

/**
 * @param totals - of all hosts
 * @returns bytes to follow a sequence, see {@link frameLoadTotals}
 */
export function encodeLoadTotals ({ work, links, limits }: Omit<LoadTotals, 'sequence'>): Uint8Array {
  return encode([toEndpointTable(work), toLinkTable(links), ...toLimitTables(limits)])
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
  const [work, links, limits] = totalsSchema.parse(decode(bytes.subarray(SEQUENCE_BYTES)))
  return { sequence: bytes.readUInt32BE(0), work: toEndpointWork(work), links: toLinkWork(links), ...toLimits(limits) }
}

function toEndpointTable (work: readonly EndpointWork[]): Table {
  return toTable(work.map(entry => entry.endpoint), work, ENDPOINT_FIGURES)
}

function toLinkTable (links: readonly LinkWork[]): Table {
  return toTable(links.map(entry => entry.link), links, LINK_FIGURES)
}

/** Nothing where nobody names a limit: hosts of earlier releases can read that. */
function toLimitTables (limits: readonly EndpointRateLimit[] = []): Table[] {
  if (limits.length === 0) return []
  const rows = limits.map(limit => ({ ...limit, requestsPerSecond: limit.requestsPerSecond ?? NO_RATE }))
  return [toTable(limits.map(limit => limit.endpoint), rows, LIMIT_FIGURES)]
}

function toTable<Row extends { readonly [Name in keyof Row]: unknown }> (names: readonly string[], rows: readonly Row[], figures: Figures<Row>): Table {
  const bytes = Buffer.allocUnsafe(rows.length * figures.length * FIGURE_BYTES)
  let at = 0
  for (const row of rows) {
    for (const [figure, unit] of figures) {
      bytes.writeUInt16BE(Math.min(LARGEST_FIGURE, Math.round(Number(row[figure]) / unit)), at)
      at += FIGURE_BYTES
    }
  }
  return [names.map(escapeName).join(SEPARATOR), bytes]
}

function escapeName (name: string): string {
  return name.replaceAll(ESCAPE, ESCAPED_ESCAPE).replaceAll(SEPARATOR, ESCAPED_SEPARATOR)
}

function unescapeName (name: string): string {
  return name.replaceAll(ESCAPED_SEPARATOR, SEPARATOR).replaceAll(ESCAPED_ESCAPE, ESCAPE)
}

function toEndpointWork (table: Table): EndpointWork[] {
  return readRows(table, ENDPOINT_FIGURES.length).map(({ name, figure }) => ({
    endpoint: name,
    inFlight: figure(0),
    pendingTokens: figure(1) * BLOCK_TOKENS,
    heldTokens: figure(2) * BLOCK_TOKENS,
    lastByteAgoMs: figure(3),
    waitedMs: figure(4),
    avoiders: figure(5),
    unresponsive: figure(6),
    outcomes: figure(7),
    failures: figure(8)
  }))
}

function toLinkWork (table: Table): LinkWork[] {
  return readRows(table, LINK_FIGURES.length).map(({ name, figure }) => ({
    link: name,
    pendingBytes: figure(0) * LINK_BLOCK_BYTES,
    samples: figure(1) * SAMPLE_STEP,
    slower: figure(2) * SAMPLE_STEP,
    faster: figure(3) * SAMPLE_STEP
  }))
}

function toLimits (table: Table | undefined): Pick<LoadTotals, 'limits'> {
  if (table === undefined) return {}
  return {
    limits: readRows(table, LIMIT_FIGURES.length).map(({ name, figure }) => ({
      endpoint: name,
      requestsPerSecond: figure(0) === LARGEST_FIGURE ? undefined : figure(0) * RATE_STEP,
      statedAgoMs: figure(1)
    }))
  }
}

interface TableRow {
  readonly name: string
  /** @returns the whole number in a column */
  figure (column: number): number
}

function readRows ([names, figures]: Table, columns: number): TableRow[] {
  const rowNames = names === '' ? [] : names.split(SEPARATOR).map(unescapeName)
  const rowBytes = columns * FIGURE_BYTES
  if (figures.length !== rowNames.length * rowBytes) {
    throw new RangeError(`${rowNames.length} endpoints or links have ${figures.length} bytes of figures`)
  }
  const view = new DataView(figures.buffer, figures.byteOffset, figures.length)
  return rowNames.map((name, row) => ({ name, figure: column => view.getUint16(row * rowBytes + column * FIGURE_BYTES) }))
}
