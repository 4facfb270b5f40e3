/**
 * Answers entry hosts' load reports with the work of all hosts.
 *
 * Datagrams and not calls: a report is worth nothing a tenth of a second later, and a lost
 * one is made good by the next.
 */
import { LoadBoard, type Totals } from '@eelgrassmux/routing/load/LoadBoard'
import { encodeLoadTotals, frameLoadTotals } from '@eelgrassmux/routing/load/loadCodec'
import type { DatagramServer } from '@eelgrassmux/rpc/datagrams/DatagramServer'
import { askLoad, tellLoad } from '@eelgrassmux/rpc/methods/loadMethods'

/** @param datagrams - where to register */
export function serveLoadBoard (datagrams: DatagramServer): void {
  const board = new LoadBoard()
  let encoded: { readonly totals: Totals, readonly bytes: Uint8Array } | undefined
  datagrams.handle(tellLoad, report => {
    board.observe(report, performance.now())
    return undefined
  })
  datagrams.handle(askLoad, report => {
    const now = performance.now()
    board.observe(report, now)
    const totals = board.totals(now)
    const sequence = totals.sequences.get(report.host)
    // A host that was added since hears of the totals with its next report.
    if (sequence === undefined) return undefined
    if (encoded?.totals !== totals) encoded = { totals, bytes: encodeLoadTotals(totals) }
    return frameLoadTotals(sequence, encoded.bytes)
  })
}
