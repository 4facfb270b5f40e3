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
import type { LinkLoadFigures, LinkLoad } from './linkLoad.js'
import type { EndpointRateLimit, EndpointLoad, LoadReport, LoadTotals, LoadFigures } from './loadReport.js'

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

/** Names whose letters are written otherwise. */
const NEEDS_ESCAPES = /[,%]/

/** Figures of a row in their order on the wire, with the unit of each. */
type Figures<Row> = ReadonlyArray<readonly [name: keyof Row, unit: number]>

/** Figures of an endpoint; their order on the wire is that of `writeWork` and `readWork`. */
const ENDPOINT_FIGURES = 9

const LINK_FIGURES: Figures<LinkLoadFigures> = [
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
 * @param names - of the endpoints in earlier answers to the same host
 * @returns the totals
 * @throws if the bytes are no answer
 */
export function decodeLoadTotals (bytes: Buffer, names = new EndpointNameCache()): LoadTotals {
  const [work, links, limits] = totalsSchema.parse(decode(bytes.subarray(SEQUENCE_BYTES)))
  return { sequence: bytes.readUInt32BE(0), work: toEndpointWork(work, names), links: toLinkWork(links), ...toLimits(limits) }
}

/** Names in a table, read anew only when they change: the endpoints with work are mostly the same from one answer to the next. */
export class EndpointNameCache {
  #text = ''
  #names: readonly string[] = []

  /**
   * @param text - as on the wire
   * @returns the names
   */
  read (text: string): readonly string[] {
    if (text !== this.#text) {
      this.#text = text
      this.#names = text.split(SEPARATOR).map(unescapeName)
    }
    return this.#names
  }
}

function toEndpointTable (work: readonly EndpointLoad[]): Table {
  const bytes = new Uint8Array(work.length * ENDPOINT_FIGURES * FIGURE_BYTES)
  const view = new DataView(bytes.buffer)
  let at = 0
  for (const entry of work) {
    writeWork(view, at, entry)
    at += ENDPOINT_FIGURES * FIGURE_BYTES
  }
  return [joinNames(work.map(entry => entry.endpoint)), bytes]
}

function writeWork (view: DataView, at: number, work: LoadFigures): void {
  view.setUint16(at, toFigure(work.inFlight))
  view.setUint16(at + 2, toFigure(work.pendingTokens / BLOCK_TOKENS))
  view.setUint16(at + 4, toFigure(work.heldTokens / BLOCK_TOKENS))
  view.setUint16(at + 6, toFigure(work.lastByteAgoMs))
  view.setUint16(at + 8, toFigure(work.waitedMs))
  view.setUint16(at + 10, toFigure(work.avoiders))
  view.setUint16(at + 12, toFigure(work.unresponsive))
  view.setUint16(at + 14, toFigure(work.outcomes))
  view.setUint16(at + 16, toFigure(work.failures))
}

function readWork (view: DataView, at: number, endpoint: string): EndpointLoad {
  return {
    endpoint,
    inFlight: view.getUint16(at),
    pendingTokens: view.getUint16(at + 2) * BLOCK_TOKENS,
    heldTokens: view.getUint16(at + 4) * BLOCK_TOKENS,
    lastByteAgoMs: view.getUint16(at + 6),
    waitedMs: view.getUint16(at + 8),
    avoiders: view.getUint16(at + 10),
    unresponsive: view.getUint16(at + 12),
    outcomes: view.getUint16(at + 14),
    failures: view.getUint16(at + 16)
  }
}

function toFigure (value: number): number {
  return Math.min(LARGEST_FIGURE, Math.round(value))
}

function toLinkTable (links: readonly LinkLoad[]): Table {
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
      bytes.writeUInt16BE(toFigure(Number(row[figure]) / unit), at)
      at += FIGURE_BYTES
    }
  }
  return [joinNames(names), bytes]
}

function joinNames (names: readonly string[]): string {
  return names.map(escapeName).join(SEPARATOR)
}

function escapeName (name: string): string {
  if (!NEEDS_ESCAPES.test(name)) return name
  return name.replaceAll(ESCAPE, ESCAPED_ESCAPE).replaceAll(SEPARATOR, ESCAPED_SEPARATOR)
}

function unescapeName (name: string): string {
  if (!name.includes(ESCAPE)) return name
  return name.replaceAll(ESCAPED_SEPARATOR, SEPARATOR).replaceAll(ESCAPED_ESCAPE, ESCAPE)
}

function toEndpointWork ([text, figures]: Table, names = new EndpointNameCache()): EndpointLoad[] {
  if (text === '' && figures.length === 0) return []
  const read = names.read(text)
  const rowBytes = ENDPOINT_FIGURES * FIGURE_BYTES
  const view = viewOf(figures, read.length, rowBytes)
  return read.map((name, row) => readWork(view, row * rowBytes, name))
}

function toLinkWork (table: Table): LinkLoad[] {
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
  const view = viewOf(figures, rowNames.length, rowBytes)
  return rowNames.map((name, row) => ({ name, figure: column => view.getUint16(row * rowBytes + column * FIGURE_BYTES) }))
}

function viewOf (figures: Uint8Array, rows: number, rowBytes: number): DataView {
  if (figures.length !== rows * rowBytes) throw new RangeError(`${rows} endpoints or links have ${figures.length} bytes of figures`)
  return new DataView(figures.buffer, figures.byteOffset, figures.length)
}
