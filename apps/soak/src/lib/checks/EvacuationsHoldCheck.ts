/** While a data centre is evacuated, hosts send nothing to its endpoints once they have had time to learn of the evacuation. */
import type { RunLine } from '../standinProtocol.js'
import type { HistoryView, RequestCheck } from '../RequestHistory.js'
import { dataCentreOf } from '../soakSite.js'

/** How long after the acknowledgement a host may act on an older configuration, in milliseconds: the default freshness of 3000 ms, plus 200 ms for the difference between two clocks. */
const FRESHNESS_MS = 3000 + 200

/** {@link RequestCheck} that reports runs in evacuated data centres. */
export class EvacuationsHoldCheck implements RequestCheck {
  readonly guarantee = 'evacuations-hold'
  /** Time of the acknowledgement of each active evacuation, by data centre. */
  readonly #acknowledgedAt = new Map<string, number>()

  /** @param dataCentre - data centre whose evacuation was acknowledged */
  recordAcknowledgement (dataCentre: string): void {
    this.#acknowledgedAt.set(dataCentre, Date.now())
  }

  /** @param dataCentre - data centre whose evacuation is about to be lifted */
  recordLift (dataCentre: string): void {
    this.#acknowledgedAt.delete(dataCentre)
  }

  onRun ({ requestId, endpoint, at }: RunLine, view: HistoryView): string | undefined {
    const dataCentre = dataCentreOf(Number(/-(\d+)#/.exec(endpoint)?.[1] ?? 0))
    const acknowledgedAt = this.#acknowledgedAt.get(dataCentre)
    const host = view.request(requestId)?.host
    if (acknowledgedAt === undefined || host === undefined || at <= acknowledgedAt + FRESHNESS_MS) return undefined
    // A fault may delay a request that the host sent before the evacuation.
    if (view.timeline.isExcused(host, at - FRESHNESS_MS, at) || view.timeline.isExcused(endpoint, at - FRESHNESS_MS, at)) return undefined
    return `ran on ${endpoint} in ${dataCentre}, whose evacuation was acknowledged ${at - acknowledgedAt} ms earlier`
  }
}
