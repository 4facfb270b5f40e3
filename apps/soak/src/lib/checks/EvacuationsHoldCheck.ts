/** While a data centre is evacuated nothing is sent to its endpoints, once hosts have had time to hear of it. */
import type { RunLine } from '../standinProtocol.js'
import type { HistoryView, RequestCheck } from '../RequestHistory.js'
import { dataCentreOf } from '../soakSite.js'

/** Time from the acknowledgement in which hosts may act on what they confirmed before, in milliseconds. */
const FRESHNESS_MS = 3000 + 200

/** {@link RequestCheck} of evacuations. */
export class EvacuationsHoldCheck implements RequestCheck {
  readonly guarantee = 'evacuations-hold'
  /** When each evacuation under way was acknowledged. */
  readonly #acknowledgedAt = new Map<string, number>()

  /** @param dataCentre - whose evacuation was acknowledged */
  recordAcknowledgement (dataCentre: string): void {
    this.#acknowledgedAt.set(dataCentre, Date.now())
  }

  /** @param dataCentre - whose evacuation is about to be ended */
  recordLift (dataCentre: string): void {
    this.#acknowledgedAt.delete(dataCentre)
  }

  onRun ({ requestId, endpoint, at }: RunLine, view: HistoryView): string | undefined {
    const dataCentre = dataCentreOf(Number(/-(\d+)#/.exec(endpoint)?.[1] ?? 0))
    const acknowledgedAt = this.#acknowledgedAt.get(dataCentre)
    const host = view.request(requestId)?.host
    if (acknowledgedAt === undefined || host === undefined || at <= acknowledgedAt + FRESHNESS_MS) return undefined
    // What a host has sent may be held up on its way.
    if (view.timeline.isExcused(host, at - FRESHNESS_MS, at) || view.timeline.isExcused(endpoint, at - FRESHNESS_MS, at)) return undefined
    return `ran at ${endpoint} in ${dataCentre}, whose evacuation was acknowledged ${at - acknowledgedAt} ms before`
  }
}
