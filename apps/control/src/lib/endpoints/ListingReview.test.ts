import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import { EndpointRegistry, type EndpointListing } from './EndpointRegistry.js'
import { ListingReview } from './ListingReview.js'

const START = 1_783_061_530_081

const entry = (id: string, changes: Partial<ListedEndpoint> = {}): ListedEndpoint => ({
  id, service: 'pool', address: `10.0.0.${id}:1`, dataCentre: 'n', slots: 4, isLeaving: false, isBusy: false, software: 'v1', models: [{ model: 'm', version: 1 }], ...changes
})

const listing = (endpoints: readonly ListedEndpoint[]): EndpointListing => ({ endpoints, rejected: [], incompleteBecause: undefined })

/** Ids are few, so that they collide with those of the sound endpoints. */
const strangeEntry: fc.Arbitrary<ListedEndpoint> = fc.record({
  id: fc.constantFrom('1', '2', '3', '9'),
  startedAtMs: fc.option(fc.integer({ min: 0, max: 2 * START }), { nil: undefined }),
  service: fc.constantFrom('pool', 'app', 'unknown'),
  address: fc.constantFrom('10.0.0.1:1', '10.0.0.2:1', '10.0.0.9:1'),
  dataCentre: fc.constantFrom('n', 'unknown'),
  slots: fc.nat(100_000),
  isLeaving: fc.boolean(),
  isBusy: fc.constant(false),
  software: fc.option(fc.constantFrom('v1', 'v2'), { nil: undefined }),
  models: fc.constantFrom<ListedEndpoint['models']>([], [{ model: 'm', version: 1 }], [{ model: 'm', version: 2 ** 40 }])
})

describe('ListingReview', () => {
  const soundEndpoints = (hasStart: boolean): ListedEndpoint[] => ['1', '2', '3'].map((id, at) => entry(id, hasStart ? { startedAtMs: START + at } : {}))

  // Guards against one entry with a start time, which put all endpoints that state none out of use.
  it('keeps endpoints without a start time beside one entry that has one', () => {
    const sound = soundEndpoints(false)
    expect(new ListingReview().review(listing([...sound, entry('9', { startedAtMs: START })])).endpoints).toEqual(expect.arrayContaining(sound))
  })

  // Guards against several such entries of another writer at once, which are in the majority.
  it('keeps endpoints without a start time that are in use beside many entries that have one', () => {
    const sound = soundEndpoints(false)
    const review = new ListingReview()
    review.review(listing(sound))
    const strange = Array.from({ length: 60 }, (_, at) => entry(`9${at}`, { startedAtMs: START }))
    expect(review.review(listing([...strange, ...sound])).endpoints).toEqual(expect.arrayContaining(sound))
  })

  // Guards against an entry with the id of an endpoint in use, whose requests then went to the address of the other writer.
  it('keeps the address of an endpoint in use if another entry has its id', () => {
    const sound = soundEndpoints(true)
    const review = new ListingReview()
    review.review(listing(sound))
    const reviewed = review.review(listing([...sound, entry('2', { address: '10.9.9.9:1', startedAtMs: START + 5000 })]))
    expect(reviewed.endpoints).toEqual(sound)
    expect(reviewed.rejected).toMatchObject([{ reason: 'id: belongs to another entry' }])
  })

  it('follows an endpoint that has started again at another address under its id', () => {
    const review = new ListingReview()
    review.review(listing(soundEndpoints(true)))
    const restarted = entry('2', { address: '10.9.9.9:1', startedAtMs: START + 5000 })
    expect(review.review(listing([restarted])).endpoints).toEqual([restarted])
  })

  it('follows an endpoint that has started again at its address while the list still shows its earlier start', () => {
    const review = new ListingReview()
    const [first, ...others] = soundEndpoints(true)
    if (first === undefined) throw new Error('no endpoint')
    review.review(listing([first, ...others]))
    const restarted = { ...first, startedAtMs: START + 5000 }
    expect(review.review(listing([restarted, first, ...others])).endpoints).toEqual([restarted, ...others])
  })

  it('takes the later page if the list has changed between two pages', () => {
    const review = new ListingReview()
    const [ready] = soundEndpoints(true)
    if (ready === undefined) throw new Error('no endpoint')
    review.review(listing([ready]))
    expect(review.review(listing([ready, { ...ready, isLeaving: true }])).endpoints).toEqual([{ ...ready, isLeaving: true }])
  })

  // Guards against any other field by which one entry changes what others are used for.
  it('leaves the endpoints in use as they are, whatever one more entry with another id or place says', () => {
    fc.assert(fc.property(fc.boolean(), strangeEntry, fc.nat(3), fc.boolean(), (hasStart, strange, position, isEstablished) => {
      const sound = soundEndpoints(hasStart)
      // An entry with the id, address and service of an endpoint in use is news of that endpoint.
      fc.pre(sound.every(({ id, address, service }) => id !== strange.id || address !== strange.address || service !== strange.service))
      fc.pre(isEstablished || sound.every(({ id }) => id !== strange.id))
      const review = new ListingReview()
      const registry = new EndpointRegistry()
      if (isEstablished) registry.applyListing(review.review(listing(sound)))
      registry.applyListing(review.review(listing([...sound.slice(0, position), strange, ...sound.slice(position)])))
      expect(registry.endpoints).toEqual(expect.arrayContaining(sound))
      registry.applyListing(review.review(listing(sound)))
      expect(registry.endpoints).toEqual(sound)
    }))
  })
})
