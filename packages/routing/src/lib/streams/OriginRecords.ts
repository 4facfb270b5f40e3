/** What one control host knows of streams: those that entry hosts have reported to it, and what may have begun the others. */
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import { PossibleOrigins, type StreamRoute } from './PossibleOrigins.js'
import { StreamOrigins } from './StreamOrigins.js'
import type { OriginAnswer, OriginQuestion, StartedStreams } from './streamOrigin.js'

/** How well a control host knows the endpoint list. */
export interface ListKnowledge {
  /** Whether the list is so recent that it shows every version that hosts in touch may use. */
  readonly isRecent: boolean
  /** Milliseconds for which the control host has followed the list without a break. */
  readonly followedMs: number
}

/** Records of one control host, in memory. */
export class OriginRecords {
  readonly #origins = new StreamOrigins()
  readonly #possible = new PossibleOrigins()

  /** Number of streams whose origin is recorded. */
  get size (): number { return this.#origins.size }

  /**
   * Must be called whenever the site or the list has changed.
   *
   * @param site - site in force
   * @param listed - all endpoints; empty if this control host does not follow the list
   * @param now - monotonic milliseconds
   */
  observe (site: { readonly routes: readonly StreamRoute[] }, listed: ReadonlyArray<Pick<ListedEndpoint, 'service' | 'software'>>, now: number): void {
    this.#possible.observe(site, listed, now)
  }

  /**
   * @param report - streams that have begun at an entry host
   * @param now - monotonic milliseconds
   */
  record ({ streams }: StartedStreams, now: number): void {
    for (const stream of streams) {
      this.#origins.record(stream, now)
      this.#possible.noteBegun(stream.origin, now)
    }
  }

  /**
   * @param question - stream that an entry host does not know
   * @param list - how well this control host knows the list
   * @param now - monotonic milliseconds
   */
  answer ({ id, route }: OriginQuestion, { isRecent, followedMs }: ListKnowledge, now: number): OriginAnswer {
    const origin = this.#origins.find(id, now)
    const view = { possible: [...this.#possible.begunBy(route, now)], isRecent, observedMs: Math.min(this.#possible.observedMs(now), followedMs) }
    return origin === undefined ? view : { origin, ...view }
  }
}
