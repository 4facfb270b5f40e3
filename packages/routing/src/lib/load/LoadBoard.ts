/**
 * Adds up what entry hosts have under way at each endpoint.
 *
 * Answers the pattern in which several hosts choose the same endpoint because
 * each sees only its own part of the work there: with eight hosts an engine's
 * queue is seven eighths invisible, and engines state it only in answers, which
 * come when the queue is over. Reports and answers grow with the number of
 * hosts, not with its square.
 */
import type { EndpointWork, LoadReport } from './loadReport.js'

/** Silence after which a host's work is taken to have ended with it, in milliseconds: twenty reports. */
const FORGET_MS = 1000

interface HostEntry {
  report: LoadReport
  heardAt: number
}

/** Latest report of each host. */
export class LoadBoard {
  readonly #hosts = new Map<string, HostEntry>()

  /**
   * @param report - of one host
   * @param now - monotonic milliseconds
   */
  observe (report: LoadReport, now: number): void {
    const present = this.#hosts.get(report.host)
    // A datagram may be overtaken; a host that started again begins at zero.
    const isOld = present !== undefined && report.sequence < present.report.sequence && now - present.heardAt < FORGET_MS
    if (!isOld) this.#hosts.set(report.host, { report, heardAt: now })
  }

  /**
   * @param now - monotonic milliseconds
   * @returns work of all hosts, for endpoints that have any
   */
  totals (now: number): EndpointWork[] {
    const totals = new Map<string, EndpointWork>()
    for (const [host, { report, heardAt }] of this.#hosts) {
      if (now - heardAt > FORGET_MS) {
        this.#hosts.delete(host)
        continue
      }
      for (const work of report.work) totals.set(work.endpoint, add(totals.get(work.endpoint), work))
    }
    return [...totals.values()]
  }
}

function add (sum: EndpointWork | undefined, work: EndpointWork): EndpointWork {
  if (sum === undefined) return work
  return {
    endpoint: work.endpoint,
    inFlight: sum.inFlight + work.inFlight,
    pendingTokens: sum.pendingTokens + work.pendingTokens,
    heldTokens: sum.heldTokens + work.heldTokens
  }
}
