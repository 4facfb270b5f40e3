/** Methods by which entry hosts share their load on endpoints, through a control host that computes the totals. */
import { decodeLoadReport, encodeLoadReport } from '@eelgrassmux/routing/load/loadCodec'
import type { LoadReport } from '@eelgrassmux/routing/load/loadReport'
import type { DatagramMethod, MessageCodec } from '../datagrams/DatagramMethod.js'

/** Datagram kinds of the load methods; they must differ from those in `controlMethods`. */
const EXCHANGE_KIND = 2
const REPORT_KIND = 3

const reportCodec: MessageCodec<LoadReport> = { encode: encodeLoadReport, decode: decodeLoadReport }

/** Passes bytes through: the totals are encoded once for all hosts, and `decodeLoadTotals` decodes them. */
const bytesCodec: MessageCodec<Uint8Array> = { encode: totals => totals, decode: totals => totals }

/** Sends a load report; the response holds the totals of all hosts. */
export const exchangeLoadReport: DatagramMethod<LoadReport, Uint8Array> = { kind: EXCHANGE_KIND, name: 'ask-load', request: reportCodec, response: bytesCodec }

/** Sends a load report without a response. */
export const sendLoadReport: DatagramMethod<LoadReport, Uint8Array> = { kind: REPORT_KIND, name: 'tell-load', request: reportCodec, response: bytesCodec }
