/**
 * Bytes of load reports and of the totals that answer them.
 *
 * Names, then whole numbers of one or two bytes: these datagrams go to every host many times a
 * second, and reading 98 endpoints as ordinary messages took 0.5 ms where this takes
 * hundredths. The totals are the same for all hosts and are encoded once; only the
 * sequence in front differs.
 */
import { decode, encode } from '@msgpack/msgpack'
import { z } from 'zod'
import type { LinkFigures, LinkWork } from './linkWork.js'
import type { EndpointWork, LoadReport, LoadTotals, WorkFigures } from './loadReport.js'

/** Bytes of the sequence in front of totals. */
const SEQUENCE_BYTES = 4

/** Tokens are counted in blocks of an engine's memory. */
const BLOCK_TOKENS = 16

/** Bytes under way on a link are counted in these: the most that can be written are 275 GB, a minute of a fast link. */
const LINK_BLOCK_BYTES = 2 ** 22

/** Steps in which samples of a link or an endpoint and their doublings are counted. */
const SAMPLE_STEP = 1 / 64

/** Between names, and what stands for it inside a name: operators name stores as they like. */
const SEPARATOR = ','
const ESCAPE = '%'
const ESCAPED_SEPARATOR = '%2C'
const ESCAPED_ESCAPE = '%25'

/** Step in which times since something are told, in milliseconds; the longest that fits is beyond all that matters. */
const AGO_STEP_MS = 20

/** How a figure is written; what is beyond its bounds is written as the bound. */
interface FigureForm {
  readonly bytes: number
  readonly least: number
  readonly most: number
}

const SMALL: FigureForm = { bytes: 1, least: 0, most: 2 ** 8 - 1 }
const PLAIN: FigureForm = { bytes: 2, least: 0, most: 2 ** 16 - 1 }
const SIGNED: FigureForm = { bytes: 2, least: -(2 ** 15), most: 2 ** 15 - 1 }

/** Figures of a row in their order on the wire, with the unit and form of each. */
type Figures<Row> = ReadonlyArray<readonly [name: keyof Row, unit: number, form: FigureForm]>

const ENDPOINT_FIGURES: Figures<WorkFigures> = [
  ['inFlight', 1, PLAIN],
  ['pendingTokens', BLOCK_TOKENS, PLAIN],
  ['heldTokens', BLOCK_TOKENS, PLAIN],
  ['heardAgoMs', AGO_STEP_MS, SMALL],
  ['waitedMs', AGO_STEP_MS, SMALL],
  ['avoiders', 1, SMALL],
  ['unresponsive', 1, SMALL],
  ['outcomes', 1, PLAIN],
  ['failures', 1, PLAIN],
  ['timed', SAMPLE_STEP, PLAIN],
  ['doublings', SAMPLE_STEP, SIGNED]
]

const LINK_FIGURES: Figures<LinkFigures> = [
  ['pendingBytes', LINK_BLOCK_BYTES, PLAIN], ['samples', SAMPLE_STEP, PLAIN], ['slower', SAMPLE_STEP, PLAIN], ['faster', SAMPLE_STEP, PLAIN]
]

const tableSchema = z.tuple([z.string(), z.instanceof(Uint8Array)])
const reportSchema = z.tuple([z.string(), z.int().min(0), tableSchema, tableSchema])
const totalsSchema = z.tuple([tableSchema, tableSchema])

type Table = z.infer<typeof tableSchema>

/**
 * @param report - of one host
 * @returns its bytes
 */
export function encodeLoadReport ({ host, sequence, work, links }: LoadReport): Uint8Array {
  return encode([host, sequence, toEndpointTable(work), toLinkTable(links)])
}

/**
 * @param bytes - of a report
 * @returns the report
 * @throws if the bytes are no report
 */
export function decodeLoadReport (bytes: Uint8Array): LoadReport {
  const [host, sequence, work, links] = reportSchema.parse(decode(bytes))
  return { host, sequence, work: toEndpointWork(work), links: toLinkWork(links) }
}

/**
 * @param totals - of all hosts
 * @returns bytes to follow a sequence, see {@link frameLoadTotals}
 */
export function encodeLoadTotals ({ work, links }: Omit<LoadTotals, 'sequence'>): Uint8Array {
  return encode([toEndpointTable(work), toLinkTable(links)])
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
  const [work, links] = totalsSchema.parse(decode(bytes.subarray(SEQUENCE_BYTES)))
  return { sequence: bytes.readUInt32BE(0), work: toEndpointWork(work), links: toLinkWork(links) }
}

function toEndpointTable (work: readonly EndpointWork[]): Table {
  return toTable(work.map(entry => entry.endpoint), work, ENDPOINT_FIGURES)
}

function toLinkTable (links: readonly LinkWork[]): Table {
  return toTable(links.map(entry => entry.link), links, LINK_FIGURES)
}

function toTable<Row extends { readonly [Name in keyof Row]: unknown }> (names: readonly string[], rows: readonly Row[], figures: Figures<Row>): Table {
  const bytes = Buffer.allocUnsafe(rows.length * bytesOf(figures))
  let at = 0
  for (const row of rows) {
    for (const [figure, unit, form] of figures) {
      at = writeFigure(bytes, at, Math.round(Number(row[figure]) / unit), form)
    }
  }
  return [names.map(escapeName).join(SEPARATOR), bytes]
}

function bytesOf<Row> (figures: Figures<Row>): number {
  return figures.reduce((sum, [, , form]) => sum + form.bytes, 0)
}

/** @returns where the next figure goes */
function writeFigure (bytes: Buffer, at: number, value: number, { bytes: length, least, most }: FigureForm): number {
  const bounded = Math.min(most, Math.max(least, value))
  return least < 0 ? bytes.writeIntBE(bounded, at, length) : bytes.writeUIntBE(bounded, at, length)
}

function escapeName (name: string): string {
  return name.replaceAll(ESCAPE, ESCAPED_ESCAPE).replaceAll(SEPARATOR, ESCAPED_SEPARATOR)
}

function unescapeName (name: string): string {
  return name.replaceAll(ESCAPED_SEPARATOR, SEPARATOR).replaceAll(ESCAPED_ESCAPE, ESCAPE)
}

function toEndpointWork (table: Table): EndpointWork[] {
  return readRows(table, ENDPOINT_FIGURES).map(({ name, figures }) => ({ endpoint: name, ...figures }))
}

function toLinkWork (table: Table): LinkWork[] {
  return readRows(table, LINK_FIGURES).map(({ name, figures }) => ({ link: name, ...figures }))
}

interface TableRow<Row> {
  readonly name: string
  readonly figures: Row
}

function readRows<Row> ([names, bytes]: Table, figures: Figures<Row>): Array<TableRow<Row>> {
  const rowNames = names === '' ? [] : names.split(SEPARATOR).map(unescapeName)
  const rowBytes = bytesOf(figures)
  if (bytes.length !== rowNames.length * rowBytes) {
    throw new RangeError(`${rowNames.length} endpoints or links have ${bytes.length} bytes of figures`)
  }
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length)
  return rowNames.map((name, row) => ({ name, figures: readFigures(buffer, row * rowBytes, figures) }))
}

function readFigures<Row> (bytes: Buffer, from: number, figures: Figures<Row>): Row {
  let at = from
  const row: Partial<Record<keyof Row, number>> = {}
  for (const [figure, unit, form] of figures) {
    row[figure] = unit * (form.least < 0 ? bytes.readIntBE(at, form.bytes) : bytes.readUIntBE(at, form.bytes))
    at += form.bytes
  }
  // Every figure of the row is in the list.
  return row as Row
}
