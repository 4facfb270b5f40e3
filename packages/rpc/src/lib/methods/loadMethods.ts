/** Methods by which entry hosts tell each other of their work at endpoints, through a control host that adds up. */
import { decodeLoadReport, encodeLoadReport } from '@eelgrassmux/routing/load/loadCodec'
import type { LoadReport } from '@eelgrassmux/routing/load/loadReport'
import type { DatagramMethod, MessageCodec } from '../datagrams/DatagramMethod.js'

/** Kinds of the datagrams; those of status reports have another. */
const ASK_KIND = 2
const TELL_KIND = 3

const report: MessageCodec<LoadReport> = { encode: encodeLoadReport, decode: decodeLoadReport }

/** Bytes as they are: totals are encoded once for all hosts, and read by `decodeLoadTotals`. */
const bytes: MessageCodec<Uint8Array> = { encode: totals => totals, decode: totals => totals }

/** A report, answered by the totals of all hosts. */
export const exchangeLoadReport: DatagramMethod<LoadReport, Uint8Array> = { kind: ASK_KIND, name: 'ask-load', request: report, response: bytes }

/** A report that needs no answer. */
export const sendLoadReport: DatagramMethod<LoadReport, Uint8Array> = { kind: TELL_KIND, name: 'tell-load', request: report, response: bytes }
