/** Methods by which entry hosts tell each other of their work at endpoints, through a control host that adds up. */
import { decodeLoadReport, encodeLoadReport } from '@eelgrassmux/routing/load/loadCodec'
import type { LoadReport } from '@eelgrassmux/routing/load/loadReport'
import type { DatagramMethod } from '../datagrams/DatagramMethod.js'

/** Kind of the datagrams of load reports; those of status reports have another. */
const LOAD_KIND = 2

/** A report, answered by the totals of all hosts: those are encoded once for all of them, and read by `decodeLoadTotals`. */
export const reportLoad: DatagramMethod<LoadReport, Uint8Array> = {
  kind: LOAD_KIND,
  name: 'load',
  request: { encode: encodeLoadReport, decode: decodeLoadReport },
  response: { encode: totals => totals, decode: totals => totals }
}
