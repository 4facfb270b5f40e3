/**
 * Encodes load reports and the totals that answer them.
 *
 * A table consists of names followed by integers of two bytes. These datagrams go to every host
 * many times a second. Decoding 98 endpoints as ordinary messages took 0.5 ms, and decoding this
 * format takes hundredths of a millisecond. The totals are the same for all hosts and are encoded
 * once; only the sequence in front of them differs.
 */
import { decode, encode } from '@msgpack/msgpack'
import { z } from 'zod'
import type { LinkLoadFigures, LinkLoad } from './linkLoad.js'
import type { EndpointBrittleness, EndpointPace, EndpointRateLimit, EndpointLoad, EndpointStreams, LoadReport, LoadTotals, LoadFigures } from './loadReport.js'

/** Size of the sequence in front of totals. */
const SEQUENCE_BYTES = 4

/** Size of one figure. */
const FIGURE_BYTES = 2

/** Largest figure; larger values are clamped to it. */
const MAX_FIGURE = 2 ** 16 - 1

/** Unit of token counts: one block of an engine's memory. */
const BLOCK_TOKENS = 16

/** Unit of pending bytes on a link. The largest value is 275 GB, which takes a fast link a minute. */
const LINK_BLOCK_BYTES = 2 ** 22

/** Resolution of a link's sample count and of its sums of doublings. */
const SAMPLE_STEP = 1 / 64

/** Resolution of rate limits in requests per second, and the value that stands for no limit. */
const RATE_STEP = 1 / 32
const UNLIMITED_RATE = MAX_FIGURE * RATE_STEP

/** Resolution of the pace of a machine. */
const PACE_STEP = 1 / 1024

/** Separator of names, and its escape inside a name. Operators may use any character in store names. */
const SEPARATOR = ','
const ESCAPE = '%'
const ESCAPED_SEPARATOR = '%2C'
const ESCAPED_ESCAPE = '%25'

/** Matches names that contain characters to escape. */
const NEEDS_ESCAPES = /[,%]/

/** Columns of a table in wire order, each with its unit. */
type FigureColumns<Row> = ReadonlyArray<readonly [name: keyof Row, unit: number]>

/** Number of figures of an endpoint. `writeEndpointLoad` and `readEndpointLoad` define their wire order. */
const ENDPOINT_FIGURE_COUNT = 9

const LINK_FIGURES: FigureColumns<LinkLoadFigures> = [
  ['pendingBytes', LINK_BLOCK_BYTES], ['samples', SAMPLE_STEP], ['slower', SAMPLE_STEP], ['faster', SAMPLE_STEP]
]

const LIMIT_FIGURES: FigureColumns<Omit<EndpointRateLimit, 'endpoint'>> = [['requestsPerSecond', RATE_STEP], ['statedAgoMs', 1]]

const BRITTLENESS_FIGURES: FigureColumns<Omit<EndpointBrittleness, 'endpoint'>> = [['rejectionsPerSecond', RATE_STEP], ['statedAgoMs', 1]]

const PACE_FIGURES: FigureColumns<Omit<EndpointPace, 'endpoint'>> = [['factor', PACE_STEP], ['statedAgoMs', 1]]

const STREAM_FIGURES: FigureColumns<Omit<EndpointStreams, 'endpoint'>> = [['streams', 1], ['shortestPauseMs', 1]]

const tableSchema = z.tuple([z.string(), z.instanceof(Uint8Array)])
const limitsSchema = tableSchema.nullish()

/** Tables of optional features. Unknown ones are ignored, so that hosts of different releases can exchange loads. */
const featureTablesSchema = z.object({ brittle: tableSchema.optional(), paces: tableSchema.optional(), streams: tableSchema.optional() }).optional()
const reportSchema = z.tuple([z.string(), z.int().min(0), tableSchema, tableSchema, limitsSchema, featureTablesSchema])
const totalsSchema = z.tuple([tableSchema, tableSchema, limitsSchema, featureTablesSchema])

type Table = z.infer<typeof tableSchema>
type FeatureTables = NonNullable<z.infer<typeof featureTablesSchema>>
type FeatureLoad = Pick<LoadTotals, 'brittle' | 'paces' | 'streams'>

/**
 * @param report - report of one host
 * @returns the encoded report
 */
export function encodeLoadReport ({ host, sequence, work, links, limits, ...features }: LoadReport): Uint8Array {
  return encode([host, sequence, toEndpointTable(work), toLinkTable(links), ...toOptionalTables(limits, features, work)])
}

/**
 * @param bytes - encoded report
 * @returns the decoded report
 * @throws if the bytes are not a valid report
 */
export function decodeLoadReport (bytes: Uint8Array): LoadReport {
  const [host, sequence, work, links, limits, features] = reportSchema.parse(decode(bytes))
  const loads = toEndpointLoads(work)
  return { host, sequence, work: loads, links: toLinkLoads(links), ...toLimits(limits), ...toFeatureLoad(features, loads) }
}

/**
 * @param totals - load of all hosts
 * @returns the encoded totals, to be framed with a sequence by {@link frameLoadTotals}
 */
export function encodeLoadTotals ({ work, links, limits, ...features }: Omit<LoadTotals, 'sequence'>): Uint8Array {
  return encode([toEndpointTable(work), toLinkTable(links), ...toOptionalTables(limits, features, work)])
}

/**
 * @param sequence - sequence of the querying host's latest report in the totals
 * @param totals - encoded totals
 * @returns the answer to the querying host
 */
export function frameLoadTotals (sequence: number, totals: Uint8Array): Buffer {
  const bytes = Buffer.allocUnsafe(SEQUENCE_BYTES + totals.length)
  bytes.writeUInt32BE(sequence, 0)
  bytes.set(totals, SEQUENCE_BYTES)
  return bytes
}

/**
 * @param bytes - encoded answer
 * @param names - cache of endpoint names, kept between answers to the same host
 * @returns the decoded totals
 * @throws if the bytes are not a valid answer
 */
export function decodeLoadTotals (bytes: Buffer, names = new EndpointNameCache()): LoadTotals {
  const [work, links, limits, features] = totalsSchema.parse(decode(bytes.subarray(SEQUENCE_BYTES)))
  const loads = toEndpointLoads(work, names)
  return { sequence: bytes.readUInt32BE(0), work: loads, links: toLinkLoads(links), ...toLimits(limits), ...toFeatureLoad(features, loads) }
}

/** Caches the parsed names of a table, because consecutive answers mostly list the same endpoints. */
export class EndpointNameCache {
  #text = ''
  #names: readonly string[] = []

  /**
   * @param text - encoded names
   * @returns the decoded names
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
  const bytes = new Uint8Array(work.length * ENDPOINT_FIGURE_COUNT * FIGURE_BYTES)
  const view = new DataView(bytes.buffer)
  let offset = 0
  for (const entry of work) {
    writeEndpointLoad(view, offset, entry)
    offset += ENDPOINT_FIGURE_COUNT * FIGURE_BYTES
  }
  return [joinNames(work.map(entry => entry.endpoint)), bytes]
}

function writeEndpointLoad (view: DataView, offset: number, work: LoadFigures): void {
  view.setUint16(offset, toFigure(work.inFlight))
  view.setUint16(offset + 2, toFigure(work.pendingTokens / BLOCK_TOKENS))
  view.setUint16(offset + 4, toFigure(work.heldTokens / BLOCK_TOKENS))
  view.setUint16(offset + 6, toFigure(work.lastByteAgoMs))
  view.setUint16(offset + 8, toFigure(work.waitedMs))
  view.setUint16(offset + 10, toFigure(work.avoiders))
  view.setUint16(offset + 12, toFigure(work.unresponsive))
  view.setUint16(offset + 14, toFigure(work.outcomes))
  view.setUint16(offset + 16, toFigure(work.failures))
}

function readEndpointLoad (view: DataView, offset: number, endpoint: string): EndpointLoad {
  return {
    endpoint,
    inFlight: view.getUint16(offset),
    pendingTokens: view.getUint16(offset + 2) * BLOCK_TOKENS,
    heldTokens: view.getUint16(offset + 4) * BLOCK_TOKENS,
    lastByteAgoMs: view.getUint16(offset + 6),
    waitedMs: view.getUint16(offset + 8),
    avoiders: view.getUint16(offset + 10),
    unresponsive: view.getUint16(offset + 12),
    outcomes: view.getUint16(offset + 14),
    failures: view.getUint16(offset + 16)
  }
}

function toFigure (value: number): number {
  return Math.min(MAX_FIGURE, Math.round(value))
}

function toLinkTable (links: readonly LinkLoad[]): Table {
  return toTable(links.map(entry => entry.link), links, LINK_FIGURES)
}

/** Omits trailing tables that are empty, so that hosts of earlier releases can decode the message while no optional feature is in use. */
function toOptionalTables (limits: readonly EndpointRateLimit[] | undefined, features: FeatureLoad, work: readonly EndpointLoad[]): unknown[] {
  const tables = toFeatureTables(features, work)
  const limitTables = toLimitTables(limits)
  return Object.keys(tables).length === 0 ? limitTables : [limitTables[0] ?? null, tables]
}

function toFeatureTables ({ brittle = [], paces = [], streams = [] }: FeatureLoad, work: readonly EndpointLoad[]): FeatureTables {
  return {
    ...(brittle.length === 0 ? {} : { brittle: toTable(brittle.map(entry => entry.endpoint), brittle, BRITTLENESS_FIGURES) }),
    ...(paces.length === 0 ? {} : { paces: toTable(paces.map(entry => entry.endpoint), paces, PACE_FIGURES) }),
    ...(streams.length === 0 ? {} : { streams: toStreamTable(streams, work) })
  }
}

function toFeatureLoad ({ brittle, paces, streams }: FeatureTables = {}, work: readonly EndpointLoad[] = []): FeatureLoad {
  return {
    ...(brittle === undefined ? {} : { brittle: toBrittleness(brittle) }),
    ...(paces === undefined ? {} : { paces: toPaces(paces) }),
    ...(streams === undefined ? {} : { streams: toStreams(streams, work) })
  }
}

/** Writes one row for each endpoint of the load, without names, because an endpoint with running streams has load, and names would be three quarters of the table. */
function toStreamTable (streams: readonly EndpointStreams[], work: readonly EndpointLoad[]): Table {
  const present = new Map(streams.map(entry => [entry.endpoint, entry]))
  return toTable([], work.map(({ endpoint }) => present.get(endpoint) ?? { endpoint, streams: 0, shortestPauseMs: 0 }), STREAM_FIGURES)
}

function toStreams ([, figures]: Table, work: readonly EndpointLoad[]): EndpointStreams[] {
  const rowBytes = STREAM_FIGURES.length * FIGURE_BYTES
  const view = createFigureView(figures, work.length, rowBytes)
  const present: EndpointStreams[] = []
  for (const [row, { endpoint }] of work.entries()) {
    const streams = view.getUint16(row * rowBytes)
    if (streams > 0) present.push({ endpoint, streams, shortestPauseMs: view.getUint16(row * rowBytes + FIGURE_BYTES) })
  }
  return present
}

function toBrittleness (table: Table): EndpointBrittleness[] {
  return readRows(table, BRITTLENESS_FIGURES.length).map(({ name, figure }) => ({ endpoint: name, rejectionsPerSecond: figure(0) * RATE_STEP, statedAgoMs: figure(1) }))
}

function toPaces (table: Table): EndpointPace[] {
  return readRows(table, PACE_FIGURES.length).map(({ name, figure }) => ({ endpoint: name, factor: figure(0) * PACE_STEP, statedAgoMs: figure(1) }))
}

/** Omits the table if there are no limits. */
function toLimitTables (limits: readonly EndpointRateLimit[] = []): Table[] {
  if (limits.length === 0) return []
  const rows = limits.map(limit => ({ ...limit, requestsPerSecond: limit.requestsPerSecond ?? UNLIMITED_RATE }))
  return [toTable(limits.map(limit => limit.endpoint), rows, LIMIT_FIGURES)]
}

function toTable<Row extends { readonly [Name in keyof Row]: unknown }> (names: readonly string[], rows: readonly Row[], figures: FigureColumns<Row>): Table {
  const bytes = Buffer.allocUnsafe(rows.length * figures.length * FIGURE_BYTES)
  let offset = 0
  for (const row of rows) {
    for (const [figure, unit] of figures) {
      bytes.writeUInt16BE(toFigure(Number(row[figure]) / unit), offset)
      offset += FIGURE_BYTES
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

function toEndpointLoads ([text, figures]: Table, names = new EndpointNameCache()): EndpointLoad[] {
  if (text === '' && figures.length === 0) return []
  const endpoints = names.read(text)
  const rowBytes = ENDPOINT_FIGURE_COUNT * FIGURE_BYTES
  const view = createFigureView(figures, endpoints.length, rowBytes)
  return endpoints.map((name, row) => readEndpointLoad(view, row * rowBytes, name))
}

function toLinkLoads (table: Table): LinkLoad[] {
  return readRows(table, LINK_FIGURES.length).map(({ name, figure }) => ({
    link: name,
    pendingBytes: figure(0) * LINK_BLOCK_BYTES,
    samples: figure(1) * SAMPLE_STEP,
    slower: figure(2) * SAMPLE_STEP,
    faster: figure(3) * SAMPLE_STEP
  }))
}

function toLimits (table: Table | null | undefined): Pick<LoadTotals, 'limits'> {
  if (table === undefined || table === null) return {}
  return {
    limits: readRows(table, LIMIT_FIGURES.length).map(({ name, figure }) => ({
      endpoint: name,
      requestsPerSecond: figure(0) === MAX_FIGURE ? undefined : figure(0) * RATE_STEP,
      statedAgoMs: figure(1)
    }))
  }
}

interface TableRow {
  readonly name: string
  /** @returns the integer in a column */
  figure (column: number): number
}

function readRows ([names, figures]: Table, columns: number): TableRow[] {
  const rowNames = names === '' ? [] : names.split(SEPARATOR).map(unescapeName)
  const rowBytes = columns * FIGURE_BYTES
  const view = createFigureView(figures, rowNames.length, rowBytes)
  return rowNames.map((name, row) => ({ name, figure: column => view.getUint16(row * rowBytes + column * FIGURE_BYTES) }))
}

function createFigureView (figures: Uint8Array, rows: number, rowBytes: number): DataView {
  if (figures.length !== rows * rowBytes) throw new RangeError(`${rows} endpoints or links do not match a table of ${figures.length} bytes`)
  return new DataView(figures.buffer, figures.byteOffset, figures.length)
}
