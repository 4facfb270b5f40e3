/**
 * Follows which services and software versions may have begun the streams of each route.
 *
 * While there is only one, a stream that nobody remembers can have begun nowhere else. A new version is not used at
 * once for streams that may be resumed, so that all hosts in touch list it before the first of them begins there.
 */
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { Route } from '@eelgrassmux/schema/site/siteSchema'
import { originKey, type StreamOrigin } from './streamOrigin.js'

/** Time for which an origin stays possible after it has left the list or the route, in milliseconds; callers resume no stream later. */
const POSSIBLE_MS = 60_000

/** Time for which a new version gets no streams that may be resumed while others can take them, in milliseconds. */
export const NEW_VERSION_DELAY_MS = 4000

/** Longest time between the moments at which two hosts in touch first list an endpoint, in milliseconds; also the age up to which a list counts as recent. */
export const MAX_LIST_SKEW_MS = 2000

/** What is used of a route. */
export type StreamRoute = Pick<Route, 'name' | 'isResumable' | 'targets'>

/** What is used of an endpoint. */
type StreamEndpoint = Pick<ListedEndpoint, 'service' | 'software'>

interface SeenOrigin {
  readonly origin: StreamOrigin
  readonly firstSeenAt: number
  /** When it left the list or the route; infinity while it is present. */
  goneAt: number
}

type Versions = ReadonlyMap<string | undefined, number>

/** Origins by route. */
export class PossibleOrigins {
  readonly #byRoute = new Map<string, Map<string, SeenOrigin>>()
  /** Services that each route leads to. */
  readonly #services = new Map<string, ReadonlySet<string>>()
  /** Origins at which streams are known to have begun, and when the last one did. */
  readonly #begun = new Map<string, { readonly origin: StreamOrigin, readonly at: number }>()
  /** When each version was added to a service that had others. */
  readonly #addedAt = new Map<string, Map<string | undefined, number>>()
  #versions: ReadonlyMap<string, Versions> = new Map()
  #startedAt: number | undefined
  #lastAddedAt = Number.NEGATIVE_INFINITY

  /**
   * Must be called whenever the site or the list has changed.
   *
   * @param site - site in force
   * @param listed - all endpoints, including those that are leaving
   * @param now - monotonic milliseconds
   */
  observe (site: { readonly routes: readonly StreamRoute[] }, listed: readonly StreamEndpoint[], now: number): void {
    this.#services.clear()
    for (const { name, targets } of site.routes) this.#services.set(name, new Set(targets.map(({ service }) => service)))
    if (listed.length === 0) return
    const isFirst = this.#startedAt === undefined
    this.#startedAt ??= now
    this.#observeVersions(countVersions(listed), now)
    const routes = new Map(site.routes.filter(route => route.isResumable).map(route => [route.name, route]))
    for (const name of new Set([...routes.keys(), ...this.#byRoute.keys()])) this.#observeRoute(name, routes.get(name), isFirst, now)
  }

  /**
   * @param now - monotonic milliseconds
   * @returns milliseconds since the first observation; 0 before it
   */
  observedMs (now: number): number {
    return now - (this.#startedAt ?? now)
  }

  /**
   * @param route - route name
   * @returns whether streams of the route may begin, or may have begun lately, at more than one origin
   */
  hasSeveral (route: string): boolean {
    return (this.#byRoute.get(route)?.size ?? 0) > 1
  }

  /**
   * @param origin - origin of a stream that is known to have begun, at any host
   * @param now - monotonic milliseconds
   */
  noteBegun (origin: StreamOrigin, now: number): void {
    this.#begun.set(originKey(origin), { origin, at: now })
  }

  /**
   * @param route - route name
   * @param now - monotonic milliseconds
   * @returns what may have begun streams of the route by now: what hosts in touch use, and what is known to have begun any
   */
  begunBy (route: string, now: number): readonly StreamOrigin[] {
    const isUsed = ({ origin: { service, software }, firstSeenAt }: SeenOrigin): boolean =>
      now - firstSeenAt >= MAX_LIST_SKEW_MS || this.newVersionsOf(service, now)?.has(software) !== true
    const used = [...this.#byRoute.get(route) ?? []].filter(([, seen]) => isUsed(seen)).map(([key, { origin }]) => [key, origin] as const)
    return [...new Map([...used, ...this.#begunAt(this.#services.get(route) ?? new Set(), now)]).values()]
  }

  #begunAt (services: ReadonlySet<string>, now: number): Array<readonly [string, StreamOrigin]> {
    const begun: Array<readonly [string, StreamOrigin]> = []
    for (const [key, { origin, at }] of this.#begun) {
      if (now - at >= POSSIBLE_MS) this.#begun.delete(key)
      else if (services.has(origin.service)) begun.push([key, origin])
    }
    return begun
  }

  /**
   * @param service - service name
   * @param now - monotonic milliseconds
   * @returns versions that were added so lately that other hosts may not list them yet; undefined if there are none
   */
  newVersionsOf (service: string, now: number): ReadonlySet<string | undefined> | undefined {
    if (now - this.#lastAddedAt >= NEW_VERSION_DELAY_MS) return undefined
    const added = [...this.#addedAt.get(service) ?? []].filter(([, addedAt]) => now - addedAt < NEW_VERSION_DELAY_MS)
    return added.length === 0 ? undefined : new Set(added.map(([software]) => software))
  }

  #observeVersions (versions: ReadonlyMap<string, Versions>, now: number): void {
    for (const [service, counts] of versions) {
      const before = this.#versions.get(service)
      const added = this.#addedAt.get(service) ?? new Map<string | undefined, number>()
      this.#addedAt.set(service, added)
      // The first list does not show which versions are new; the most frequent one is not.
      const [usual] = [...counts].sort(([, left], [, right]) => right - left)[0] ?? []
      for (const software of counts.keys()) {
        if (added.has(software)) continue
        const isNew = before === undefined ? software !== usual : !before.has(software)
        added.set(software, isNew ? now : Number.NEGATIVE_INFINITY)
        if (isNew) this.#lastAddedAt = now
      }
      for (const software of added.keys()) if (!counts.has(software)) added.delete(software)
    }
    for (const service of this.#addedAt.keys()) if (!versions.has(service)) this.#addedAt.delete(service)
    this.#versions = versions
  }

  #observeRoute (name: string, route: StreamRoute | undefined, isFirst: boolean, now: number): void {
    const seen = this.#byRoute.get(name) ?? new Map<string, SeenOrigin>()
    const present = new Set<string>()
    for (const { service } of route?.targets ?? []) {
      for (const software of this.#versions.get(service)?.keys() ?? []) {
        const origin = software === undefined ? { service } : { service, software }
        const key = originKey(origin)
        present.add(key)
        const known = seen.get(key)
        if (known === undefined) seen.set(key, { origin, firstSeenAt: isFirst ? Number.NEGATIVE_INFINITY : now, goneAt: Number.POSITIVE_INFINITY })
        else known.goneAt = Number.POSITIVE_INFINITY
      }
    }
    for (const [key, each] of seen) {
      if (present.has(key)) continue
      each.goneAt = Math.min(each.goneAt, now)
      if (now - each.goneAt >= POSSIBLE_MS) seen.delete(key)
    }
    if (seen.size === 0) this.#byRoute.delete(name)
    else this.#byRoute.set(name, seen)
  }
}

/** An endpoint without a version among others with one has restarted, and gets one with the next list. */
function countVersions (listed: readonly StreamEndpoint[]): ReadonlyMap<string, Versions> {
  const versions = new Map<string, Map<string | undefined, number>>()
  for (const { service, software } of listed) {
    const counts = versions.get(service) ?? new Map<string | undefined, number>()
    counts.set(software, (counts.get(software) ?? 0) + 1)
    versions.set(service, counts)
  }
  for (const counts of versions.values()) if (counts.size > 1) counts.delete(undefined)
  return versions
}
