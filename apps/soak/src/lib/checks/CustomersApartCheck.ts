/** A run is the customer's whose key came with the request; no key is passed on, and isolated customers share no cache. */
import type { RunLine } from '../standinProtocol.js'
import type { HistoryView, RequestCheck } from '../RequestHistory.js'
import { CUSTOMERS } from '../soakSite.js'

/** {@link RequestCheck} of who runs for whom. */
export class CustomersApartCheck implements RequestCheck {
  readonly guarantee = 'customers-apart'
  readonly #customersBySalt = new Map<string, string>()

  onRun (run: RunLine, view: HistoryView): string | undefined {
    const request = view.request(run.requestId)
    if (request === undefined) return 'nobody asked for this run'
    if (run.hasKey) return 'the caller\'s key was passed on'
    if (run.customer !== request.customer) return `${request.customer} asked, and it ran for ${run.customer}`
    return this.#sharedCache(run)
  }

  #sharedCache ({ cacheSalt, customer }: RunLine): string | undefined {
    if (cacheSalt === '') return undefined
    const first = this.#customersBySalt.get(cacheSalt) ?? customer
    this.#customersBySalt.set(cacheSalt, first)
    if (first === customer || !(isIsolated(first) || isIsolated(customer))) return undefined
    return `${first} and ${customer} share the cache scope ${cacheSalt}`
  }
}

function isIsolated (name: string): boolean {
  return CUSTOMERS.some(customer => customer.name === name && customer.isIsolated)
}
