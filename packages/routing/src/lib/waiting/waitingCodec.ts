/**
 * Encodes the questions about waiting requests and their answers.
 *
 * A question lists each name once, in front, and refers to it by its position: the waiting requests of a host mostly
 * share services, customers and candidates, and a question with a dozen requests has to fit into one Ethernet frame.
 * Durations are rounded to milliseconds, and tokens to blocks of 16.
 */
import { decode, encode } from '@msgpack/msgpack'
import { z } from 'zod'
import { decodeNames, NameTable } from './nameTable.js'
import { MAX_CANDIDATES, MAX_REPORTED_OUTCOMES, MAX_REPORTED_WAITING, type WaitingAnswer, type WaitingKind, type WaitingReport, type WaitingRequest } from './waitingMessages.js'

/** Longest name accepted, in characters; any sender can reach the port. */
const MAX_NAME_LENGTH = 256

/** Most names of a question: host, and service, customer and candidates of each request, and the rejecting endpoints. */
const MAX_NAMES = 1 + MAX_REPORTED_WAITING * (2 + MAX_CANDIDATES) + MAX_REPORTED_OUTCOMES

/** Most entries of each list of an answer; a control host has no more hosts or services. */
const MAX_ANSWER_ENTRIES = 1024

/** Largest integer on the wire; larger values are clamped to it. */
const MAX_COUNT = 2 ** 31

/** Kinds by their number on the wire. */
const KINDS: readonly WaitingKind[] = ['engine', 'plain']

/**
 * Size of a request in the table: a ticket of four bytes, kind and urgency of one byte, and figures of two bytes. The
 * leader decodes a thousand questions a second, and validating each figure by itself took four fifths of the time.
 */
const CANDIDATES_AT = 22
const REQUEST_BYTES = CANDIDATES_AT + 2 * MAX_CANDIDATES

/** Largest figure of two bytes and of one; larger values are clamped to it. The longest patience is a minute. */
const MAX_FIGURE = 2 ** 16 - 1
const MAX_SMALL_FIGURE = 2 ** 8 - 1

/** Unit of token counts: one block of an engine's memory. */
const BLOCK_TOKENS = 16

/** Position that stands for no candidate. */
const NO_NAME = MAX_FIGURE

const count = z.int().min(0)
const name = z.string().max(MAX_NAME_LENGTH)

const reportSchema = z.tuple([
  z.string().max(MAX_NAMES * (MAX_NAME_LENGTH + 2)), // encoded names, the host's first
  count, // sequence
  z.instanceof(Uint8Array), // table of the requests
  z.array(count).max(MAX_REPORTED_OUTCOMES), // tickets that were sent
  z.array(count).max(MAX_REPORTED_OUTCOMES), // tickets that were not sent
  z.array(z.tuple([count, count])).max(MAX_REPORTED_OUTCOMES).optional() // name of an endpoint, and its occupancy
])

const answerSchema = z.tuple([
  count, // sequence
  z.array(z.tuple([count, name, count])).max(MAX_ANSWER_ENTRIES), // ticket, endpoint, validity
  z.array(z.tuple([count, count])).max(MAX_ANSWER_ENTRIES), // ticket, time after which it could be served
  z.array(z.tuple([name, count])).max(MAX_ANSWER_ENTRIES), // endpoint, urgency
  z.array(name).max(MAX_ANSWER_ENTRIES)
])

/**
 * @param report - question of a host
 * @returns the encoded question
 */
export function encodeWaitingReport ({ host, sequence, waiting, outcomes, rejections = [] }: WaitingReport): Uint8Array {
  const table = listNames(host, waiting)
  const requests = new Uint8Array(waiting.length * REQUEST_BYTES)
  const view = new DataView(requests.buffer)
  for (const [index, request] of waiting.entries()) writeRequest(view, index * REQUEST_BYTES, request, table)
  const refused = rejections.map(({ endpoint, occupancy }) => [table.position(endpoint), toCount(occupancy)])
  const sent = outcomes.filter(({ wasSent }) => wasSent).map(({ ticket }) => ticket)
  const unsent = outcomes.filter(({ wasSent }) => !wasSent).map(({ ticket }) => ticket)
  return encode([table.encode(), sequence, requests, sent, unsent, ...(refused.length === 0 ? [] : [refused])])
}

/**
 * @param bytes - encoded question
 * @returns the decoded question
 * @throws if the bytes are not a valid question
 */
export function decodeWaitingReport (bytes: Uint8Array): WaitingReport {
  const [encodedNames, sequence, requests, sent, unsent, refused] = reportSchema.parse(decode(bytes))
  const names = decodeNames(encodedNames, MAX_NAME_LENGTH)
  return {
    host: nameAt(names, 0),
    sequence,
    waiting: toRequests(requests, names),
    outcomes: [...sent.map(ticket => ({ ticket, wasSent: true })), ...unsent.map(ticket => ({ ticket, wasSent: false }))],
    ...(refused === undefined ? {} : { rejections: refused.map(([endpoint, occupancy]) => ({ endpoint: nameAt(names, endpoint), occupancy })) })
  }
}

/**
 * @param answer - answer to a host
 * @returns the encoded answer
 */
export function encodeWaitingAnswer ({ sequence, grants, refusals, reserved, contended }: WaitingAnswer): Uint8Array {
  return encode([
    sequence,
    grants.map(({ ticket, endpoint, validMs }) => [ticket, endpoint, toCount(validMs)]),
    refusals.map(({ ticket, retryAfterMs }) => [ticket, toCount(retryAfterMs)]),
    reserved.map(({ endpoint, urgency }) => [endpoint, urgency]),
    contended
  ])
}

/**
 * @param bytes - encoded answer
 * @returns the decoded answer
 * @throws if the bytes are not a valid answer
 */
export function decodeWaitingAnswer (bytes: Uint8Array): WaitingAnswer {
  const [sequence, grants, refusals, reserved, contended] = answerSchema.parse(decode(bytes))
  return {
    sequence,
    grants: grants.map(([ticket, endpoint, validMs]) => ({ ticket, endpoint, validMs })),
    refusals: refusals.map(([ticket, retryAfterMs]) => ({ ticket, retryAfterMs })),
    reserved: reserved.map(([endpoint, urgency]) => ({ endpoint, urgency })),
    contended
  }
}

/** Lists names of a kind one after the other, since they share their beginnings. */
function listNames (host: string, waiting: readonly WaitingRequest[]): NameTable {
  const table = new NameTable()
  table.position(host)
  for (const { service } of waiting) table.position(service)
  for (const { customer } of waiting) table.position(customer)
  for (const { candidates } of waiting) for (const candidate of candidates.slice(0, MAX_CANDIDATES)) table.position(candidate)
  return table
}

function writeRequest (view: DataView, offset: number, request: WaitingRequest, table: NameTable): void {
  const { ticket, kind, service, customer, urgency, tokens, prefillTokens = tokens, candidates, ageMs, objectiveMs, patienceMs, workMs } = request
  view.setUint32(offset, ticket)
  view.setUint8(offset + 4, KINDS.indexOf(kind))
  view.setUint8(offset + 5, toCount(urgency, MAX_SMALL_FIGURE))
  view.setUint16(offset + 6, table.position(service))
  view.setUint16(offset + 8, table.position(customer))
  view.setUint16(offset + 10, toCount(tokens / BLOCK_TOKENS, MAX_FIGURE))
  view.setUint16(offset + 12, toCount(prefillTokens / BLOCK_TOKENS, MAX_FIGURE))
  view.setUint16(offset + 14, toCount(ageMs, MAX_FIGURE))
  view.setUint16(offset + 16, Math.max(1, toCount(objectiveMs, MAX_FIGURE)))
  view.setUint16(offset + 18, toCount(patienceMs, MAX_FIGURE))
  view.setUint16(offset + 20, toCount(workMs, MAX_FIGURE))
  for (let index = 0; index < MAX_CANDIDATES; index += 1) {
    const candidate = candidates[index]
    view.setUint16(offset + CANDIDATES_AT + 2 * index, candidate === undefined ? NO_NAME : table.position(candidate))
  }
}

/** @throws RangeError if the table doesn't match the names or contains impossible figures */
function toRequests (table: Uint8Array, names: readonly string[]): WaitingRequest[] {
  const requests = table.length / REQUEST_BYTES
  if (!Number.isInteger(requests) || requests > MAX_REPORTED_WAITING) throw new RangeError(`${table.length} bytes are no table of requests`)
  const view = new DataView(table.buffer, table.byteOffset, table.length)
  return Array.from({ length: requests }, (_, index) => readRequest(view, index * REQUEST_BYTES, names))
}

function readRequest (view: DataView, offset: number, names: readonly string[]): WaitingRequest {
  const kind = KINDS[view.getUint8(offset + 4)]
  const objectiveMs = view.getUint16(offset + 16)
  // Ages are divided by the objective.
  if (kind === undefined || objectiveMs === 0) throw new RangeError('no such kind, or no objective')
  return {
    ticket: view.getUint32(offset),
    kind,
    service: nameAt(names, view.getUint16(offset + 6)),
    customer: nameAt(names, view.getUint16(offset + 8)),
    urgency: view.getUint8(offset + 5),
    tokens: view.getUint16(offset + 10) * BLOCK_TOKENS,
    prefillTokens: view.getUint16(offset + 12) * BLOCK_TOKENS,
    candidates: readCandidates(view, offset + CANDIDATES_AT, names),
    ageMs: view.getUint16(offset + 14),
    objectiveMs,
    patienceMs: view.getUint16(offset + 18),
    workMs: view.getUint16(offset + 20)
  }
}

function readCandidates (view: DataView, offset: number, names: readonly string[]): string[] {
  const candidates: string[] = []
  for (let index = 0; index < MAX_CANDIDATES; index += 1) {
    const position = view.getUint16(offset + 2 * index)
    if (position !== NO_NAME) candidates.push(nameAt(names, position))
  }
  return candidates
}

function toCount (value: number, max = MAX_COUNT): number {
  return Math.min(max, Math.max(0, Math.round(value)))
}

/** @throws RangeError if there is no name at the position */
function nameAt (names: readonly string[], position: number): string {
  const found = names[position]
  if (found === undefined) throw new RangeError(`no name ${position} among ${names.length}`)
  return found
}
