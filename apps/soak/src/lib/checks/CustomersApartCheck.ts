/** A request runs for the customer whose key it carries, the key is not passed on to the endpoint, and an isolated customer shares no cache with another one. */
import type { RunLine } from '../standinProtocol.js'
import type { HistoryView, RequestCheck } from '../RequestHistory.js'
import { CUSTOMERS } from '../soakSite.js'

/** {@link RequestCheck} of the customer, the key and the cache scope of each run. */
export class CustomersApartCheck implements RequestCheck {
  readonly guarantee = 'customers-apart'
  readonly #customersBySalt = new Map<string, string>()

  onRun (run: RunLine, view: HistoryView): string | undefined {
    const request = view.request(run.requestId)
    if (request === undefined) return 'no caller sent this request'
    if (run.hasKey) return 'the caller\'s key was passed on to the endpoint'
    if (run.customer !== request.customer) return `sent by ${request.customer}, but ran for ${run.customer}`
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
