/** While one customer sends a burst, no customer's requests are served less than a quarter as often as all requests. */
import type { RequestCheck } from '../RequestHistory.js'
import type { Outcome } from '../observations.js'

/** Time from the start of a burst from which requests count, in milliseconds: those before it found the service as it was. */
const BURST_ONSET_MS = 500

/** Smallest share of a customer's requests that is served, compared with the share of all requests. */
const MIN_RELATIVE_SHARE = 0.25

/** Number of requests that would be served of a customer at the share of all, from which its own share means something: by chance, 2 of 10 are rarer than one in 300. */
const MIN_EXPECTED_SERVED = 10

const OK = 200

interface Burst {
  readonly customer: string
  readonly from: number
  readonly until: number
}

interface Served {
  requests: number
  served: number
}

/** {@link RequestCheck} of the customers' shares during bursts. */
export class CustomersAreServedCheck implements RequestCheck {
  readonly guarantee = 'customers-are-served'
  readonly #bursts: Burst[] = []
  readonly #outcomes: Outcome[] = []

  /**
   * Records a burst that starts now.
   *
   * @param customer - customer that sends it
   * @param durationMs - how long it lasts, in milliseconds
   */
  recordBurst (customer: string, durationMs: number): void {
    const now = Date.now()
    this.#bursts.push({ customer, from: now + BURST_ONSET_MS, until: now + durationMs })
  }

  onOutcome (outcome: Outcome): undefined {
    this.#outcomes.push(outcome)
  }

  onEnd (): string[] {
    return this.#bursts.flatMap(burst => this.#starvedIn(burst))
  }

  #starvedIn ({ customer: sender, from, until }: Burst): string[] {
    const customers = new Map<string, Served>()
    const all: Served = { requests: 0, served: 0 }
    for (const { request, end } of this.#outcomes) {
      // A request that crashes its endpoint is refused or fails whatever its customer gets.
      if (request.sentAt < from || request.sentAt > until || request.work.crashesEndpointAfterMs !== undefined) continue
      const ofCustomer = customers.get(request.customer) ?? { requests: 0, served: 0 }
      customers.set(request.customer, ofCustomer)
      for (const counts of [ofCustomer, all]) {
        counts.requests += 1
        if (end.kind === 'answered' && end.status === OK) counts.served += 1
      }
    }
    return [...customers].flatMap(([customer, { requests, served }]) => {
      const expected = requests * all.served / all.requests
      const isStarved = expected >= MIN_EXPECTED_SERVED && served < expected * MIN_RELATIVE_SHARE
      return isStarved ? [`${customer} got ${served} of ${requests} requests while ${sender} sent a burst; ${all.served} of all ${all.requests} were served`] : []
    })
  }
}
