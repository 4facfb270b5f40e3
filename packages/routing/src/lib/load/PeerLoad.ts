/** Work of the other entry hosts at each endpoint and on each link, as last heard. */
import { IDLE_LINK, type LinkLoadFigures, type LinkLoad } from './linkLoad.js'
import { NO_ENDPOINT_LOAD, type EndpointRateLimit, type EndpointLoad, type LoadReport, type LoadTotals, type LoadFigures } from './loadReport.js'

/** Age after which it says nothing any more, in milliseconds: a few lost datagrams. */
const LIFETIME_MS = 400

/** Work of one host or of all. */
export type HostLoad = Pick<LoadReport, 'work' | 'links' | 'limits'>

/** What this host reported under one sequence number, to be taken off the totals that answer it. */
interface OwnReport {
  readonly sequence: number
  readonly work: ReadonlyMap<string, EndpointLoad>
  readonly links: ReadonlyMap<string, LinkLoad>
}

/** Reports kept until they are answered. */
const KEPT_REPORTS = 16

/** Totals less what this host itself had reported. */
export class PeerLoad {
  #reports: OwnReport[] = []
  #others = new Map<string, LoadFigures>()
  #links = new Map<string, LinkLoadFigures>()
  #limits: readonly EndpointRateLimit[] = []
  #receivedAt = Number.NEGATIVE_INFINITY
  #answered = -1

  /**
   * Notes a report that is about to be sent.
   *
   * @param sequence - its number
   * @param own - this host's own work
   */
  recordOwnReport (sequence: number, { work, links }: HostLoad): void {
    this.#reports.push({
      sequence,
      work: new Map(work.map(entry => [entry.endpoint, entry])),
      links: new Map(links.map(entry => [entry.link, entry]))
    })
    if (this.#reports.length > KEPT_REPORTS) this.#reports.shift()
  }

  /**
   * Takes the totals that answer a report.
   *
   * @param totals - work of all hosts, this one included, with the number of the report
   * @param now - monotonic milliseconds
   */
  recordTotals ({ sequence, work, links, limits = [] }: LoadTotals, now: number): void {
    const own = this.#reports.find(report => report.sequence === sequence)
    if (own === undefined || sequence < this.#answered) return
    this.#answered = sequence
    this.#receivedAt = now
    this.#limits = limits
    this.#others = new Map()
    for (const total of work) this.#others.set(total.endpoint, subtract(total, own.work.get(total.endpoint)))
    this.#links = new Map()
    for (const total of links) this.#links.set(total.link, subtractLink(total, own.links.get(total.link)))
  }

  /**
   * @param now - monotonic milliseconds
   * @returns whether the figures are recent
   */
  isRecent (now: number): boolean {
    return now - this.#receivedAt < LIFETIME_MS
  }

  /**
   * @param endpoint - incarnation of an endpoint
   * @returns work of all other hosts there
   */
  forEndpoint (endpoint: string): LoadFigures {
    return this.#others.get(endpoint) ?? NO_ENDPOINT_LOAD
  }

  /** What endpoints have said of the rates that they take, as of the last answer. */
  get limits (): readonly EndpointRateLimit[] { return this.#limits }

  /** What all other hosts have on links, by the links' names. */
  get links (): ReadonlyMap<string, LinkLoadFigures> { return this.#links }
}

function subtract (total: EndpointLoad, own: LoadFigures = NO_ENDPOINT_LOAD): LoadFigures {
  return {
    inFlight: Math.max(0, total.inFlight - own.inFlight),
    pendingTokens: Math.max(0, total.pendingTokens - own.pendingTokens),
    heldTokens: Math.max(0, total.heldTokens - own.heldTokens),
    // The least and the most can't be taken apart; this host's own part in them is true as well.
    lastByteAgoMs: total.lastByteAgoMs,
    waitedMs: total.waitedMs,
    avoiders: Math.max(0, total.avoiders - own.avoiders),
    unresponsive: total.unresponsive,
    outcomes: Math.max(0, total.outcomes - own.outcomes),
    failures: Math.max(0, total.failures - own.failures)
  }
}

function subtractLink (total: LinkLoadFigures, own: LinkLoadFigures = IDLE_LINK): LinkLoadFigures {
  return {
    pendingBytes: Math.max(0, total.pendingBytes - own.pendingBytes),
    samples: Math.max(0, total.samples - own.samples),
    slower: Math.max(0, total.slower - own.slower),
    faster: Math.max(0, total.faster - own.faster)
  }
}
