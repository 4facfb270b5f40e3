/** Hosts that are partitioned from the endpoints, the tickets that they hold, and the hosts that may relay for them. */

/** Time for which a ticket is valid after its host last asked, in milliseconds. */
const TICKET_LIFETIME_MS = 15_000

/** Time after its last question for which a host counts as partitioned and is not named to others, in milliseconds. */
const CUT_OFF_LIFETIME_MS = 2500

interface Holder {
  readonly ticket: string
  askedAt: number
}

/** Tickets by host. */
export class RelayTickets {
  readonly #holders = new Map<string, Holder>()

  /** @param createTicket - returns a new secret */
  constructor (private readonly createTicket: () => string) {}

  /**
   * Records that a host is partitioned.
   *
   * @param host - address of the host
   * @param now - monotonic milliseconds
   * @returns its ticket
   */
  open (host: string, now: number): string {
    this.#expire(now)
    const holder = this.#holders.get(host) ?? { ticket: this.createTicket(), askedAt: now }
    holder.askedAt = now
    this.#holders.set(host, holder)
    return holder.ticket
  }

  /**
   * @param ticket - ticket that a request carries
   * @param now - monotonic milliseconds
   * @returns the host that holds it, if it is valid
   */
  holderOf (ticket: string, now: number): string | undefined {
    this.#expire(now)
    for (const [host, holder] of this.#holders) if (holder.ticket === ticket) return host
    return undefined
  }

  /**
   * @param entries - addresses of the entry hosts that accept requests
   * @param asking - address of the host that asks
   * @param most - most hosts to name
   * @param now - monotonic milliseconds
   * @param random - returns numbers in [0, 1)
   * @returns a random selection of the hosts that are not known to be partitioned themselves
   */
  candidates (entries: readonly string[], asking: string, most: number, now: number, random: () => number): string[] {
    const usable = entries.filter(host => host !== asking && now - (this.#holders.get(host)?.askedAt ?? Number.NEGATIVE_INFINITY) > CUT_OFF_LIFETIME_MS)
    const drawn: string[] = []
    while (drawn.length < most && usable.length > 0) drawn.push(...usable.splice(Math.floor(random() * usable.length), 1))
    return drawn
  }

  #expire (now: number): void {
    for (const [host, { askedAt }] of this.#holders) if (now - askedAt > TICKET_LIFETIME_MS) this.#holders.delete(host)
  }
}
