/**
 * Accounts for what each customer has received, so that waiting customers get equal shares (weighted fair queueing).
 *
 * A customer that comes back after a time without waiting requests starts at least level with the customer that has
 * received least: it does not make up for the time that it didn't use.
 */

import { DrainRate } from './DrainRate.js'

/** Account of one customer among those of the same service and urgency. */
export interface CustomerAccount {
  /** Tokens or calls received, divided by the customer's weight. */
  received: number
  /** Waiting requests of the customer. */
  waiting: number
  readonly weight: number
  readonly level: ShareLevel
  /** Rate at which the customer's waiting requests are served; below its share of the service's rate while others go before it. */
  readonly rate: DrainRate
  /** Tokens or calls of its requests that the last decision left waiting. */
  left: number
  /** Used while requests are sorted: what the customer's requests sorted so far will add to `received`. */
  ahead: number
}

/** Customers of one service and urgency. */
export interface ShareLevel {
  readonly accounts: Map<string, CustomerAccount>
  /** What the waiting customer that has received least has received; it never falls. */
  floor: number
}

/** Customer accounts of one service. */
export class CustomerShares {
  readonly #levels = new Map<number, ShareLevel>()
  #waitingCustomers = 0

  /** Customers with waiting requests, as of the last decision; those with several urgencies count as several. */
  get waitingCustomers (): number { return this.#waitingCustomers }

  /**
   * Adds a waiting request to an account.
   *
   * @param customer - name of the customer
   * @param urgency - urgency of the request, from which the customer's weight follows
   * @returns the customer's account
   */
  join (customer: string, urgency: number): CustomerAccount {
    const level = this.#level(urgency)
    let account = level.accounts.get(customer)
    if (account === undefined) {
      account = { received: 0, waiting: 0, weight: 1 / (1 + urgency), level, rate: new DrainRate(), left: 0, ahead: 0 }
      level.accounts.set(customer, account)
    }
    if (account.waiting === 0) account.received = Math.max(account.received, level.floor)
    account.waiting += 1
    return account
  }

  /**
   * Begins a decision: measures the time in which customers had requests left waiting.
   *
   * @param now - monotonic milliseconds
   */
  advance (now: number): void {
    this.#waitingCustomers = 0
    for (const level of this.#levels.values()) {
      for (const account of level.accounts.values()) {
        account.rate.advance(now, account.left > 0)
        account.left = 0
        if (account.waiting > 0) this.#waitingCustomers += 1
      }
    }
  }

  /** Raises the floors to what the customers that wait have received at least, and drops the accounts of those that don't wait and have received no more. */
  updateFloors (): void {
    for (const level of this.#levels.values()) {
      let least = Number.POSITIVE_INFINITY
      for (const { received, waiting } of level.accounts.values()) {
        if (waiting > 0) least = Math.min(least, received)
      }
      if (least !== Number.POSITIVE_INFINITY) level.floor = Math.max(level.floor, least)
      for (const [customer, { received, waiting }] of level.accounts) {
        if (waiting === 0 && received <= level.floor) level.accounts.delete(customer)
      }
    }
  }

  #level (urgency: number): ShareLevel {
    let level = this.#levels.get(urgency)
    if (level === undefined) {
      level = { accounts: new Map(), floor: 0 }
      this.#levels.set(urgency, level)
    }
    return level
  }
}

/**
 * @param account - account of a customer
 * @returns what the customer has received beyond the waiting customer of its urgency that has received least
 */
export function receivedAboveFloor ({ received, level }: CustomerAccount): number {
  return Math.max(0, received - level.floor)
}
