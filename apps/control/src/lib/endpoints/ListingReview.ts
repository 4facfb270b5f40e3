/** Keeps one entry of the endpoint list from putting others out of use. */
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import { isLaterStart } from '@eelgrassmux/schema/site/isLaterStart'
import { rejectEntry } from '@eelgrassmux/telemetry/RejectedEntries'
import type { EndpointListing } from './EndpointRegistry.js'

/**
 * Decides which entries to use where entries contradict each other.
 *
 * Any entry may come from another writer than the platform. A contradiction is therefore decided for what is in use
 * already, and only then by what most entries say.
 */
export class ListingReview {
  /** Endpoints in use by id, as last listed. */
  #inUse: ReadonlyMap<string, ListedEndpoint> = new Map()

  /**
   * @param listing - entries that are valid by themselves
   * @returns the listing with the contradicting entries among the rejected ones
   */
  review (listing: EndpointListing): EndpointListing {
    const conflicts = this.#findReusedIds(listing.endpoints)
    for (const entry of this.#findMissingStarts(listing.endpoints)) conflicts.set(entry, 'start time: missing')
    const endpoints = listing.endpoints.filter(entry => !conflicts.has(entry))
    const rejected = [...conflicts].map(([entry, reason]) => rejectEntry(reason, entry))
    this.#remember(endpoints, listing.incompleteBecause === undefined)
    return { ...listing, endpoints, rejected: [...listing.rejected, ...rejected] }
  }

  #remember (endpoints: readonly ListedEndpoint[], isComplete: boolean): void {
    this.#inUse = new Map([...isComplete ? [] : this.#inUse, ...endpoints.map(entry => [entry.id, entry] as const)])
  }

  /** Finds entries whose id belongs to another entry. The list may change while its pages are read, so of equal claims the last one holds. */
  #findReusedIds (entries: readonly ListedEndpoint[]): Map<ListedEndpoint, string> {
    const holders = new Map<string, ListedEndpoint>()
    for (const entry of entries) {
      const holder = holders.get(entry.id)
      if (holder === undefined || !this.#hasBetterClaim(holder, entry)) holders.set(entry.id, entry)
    }
    return new Map(entries.filter(entry => holders.get(entry.id) !== entry).map(entry => [entry, 'id: belongs to another entry']))
  }

  /** At the place that is in use, a later start is a restart; elsewhere it may be another writer's. */
  #hasBetterClaim (entry: ListedEndpoint, other: ListedEndpoint): boolean {
    const isInPlace = this.#isInPlace(entry)
    return isInPlace === this.#isInPlace(other) ? isLaterStart(entry.startedAtMs, other.startedAtMs) : isInPlace
  }

  #isInPlace (entry: ListedEndpoint): boolean {
    const inUse = this.#inUse.get(entry.id)
    return inUse !== undefined && isSamePlace(entry, inUse)
  }

  /**
   * Finds entries without a start time that another writer has added: either all endpoints of a service and software version
   * state when they started, or none does. One entry that has a start time says nothing about the others, so most must have one.
   */
  #findMissingStarts (entries: readonly ListedEndpoint[]): ListedEndpoint[] {
    const withStart = entries.filter(({ startedAtMs }) => startedAtMs !== undefined)
    if (withStart.length <= entries.length - withStart.length) return []
    const kindsWithStart = new Set(withStart.map(kindOf))
    return entries.filter(entry => entry.startedAtMs === undefined && kindsWithStart.has(kindOf(entry)) && !this.#isUsedWithoutStart(entry))
  }

  #isUsedWithoutStart (entry: ListedEndpoint): boolean {
    return this.#isInPlace(entry) && this.#inUse.get(entry.id)?.startedAtMs === undefined
  }
}

function kindOf ({ service, software }: ListedEndpoint): string {
  return JSON.stringify([service, software])
}

function isSamePlace (entry: ListedEndpoint, other: ListedEndpoint): boolean {
  return entry.address === other.address && entry.service === other.service
}
