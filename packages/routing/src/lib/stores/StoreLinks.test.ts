import { describe, expect, it } from 'vitest'
import type { StoreService } from '@eelgrassmux/schema/site/siteSchema'
import { LoadAggregator } from '../load/LoadAggregator.js'
import { PeerLoad } from '../load/PeerLoad.js'
import { StoreLinks, type StoreTransfer } from './StoreLinks.js'

const store: StoreService = { type: 'store', name: 'large', address: '10.0.0.5:1', dataCentre: 'north', cacheTokens: 2_000_000, linkMbps: 100_000, firstByteMs: 1, isManaged: true }

/** 10 ms on the link to the own data centre, 20 ms to another. */
const transfer = (dataCentre = 'north'): StoreTransfer => ({ store, dataCentre, bytes: 125_000_000 })

/** Time to a first event without its fetch. */
const OTHER_MS = 50

/** Hosts that tell each other of their transfers twenty times a second. */
class LinkWorld {
  readonly #board = new LoadAggregator()
  readonly hosts: Array<{ readonly links: StoreLinks, readonly others: PeerLoad }>
  now = 0
  #sequence = 0

  constructor (count: number) {
    this.hosts = Array.from({ length: count }, () => ({ links: new StoreLinks(() => count), others: new PeerLoad() }))
  }

  exchange (milliseconds: number): void {
    for (const end = this.now + milliseconds; this.now < end; this.now += 50) {
      this.#sequence += 1
      this.hosts.forEach(({ links, others }, host) => {
        const own = { work: [], links: links.localLoad(this.now) }
        others.recordOwnReport(this.#sequence, own)
        this.#board.observe({ host: `h${host}`, sequence: this.#sequence, ...own }, this.now)
      })
      const totals = this.#board.totals(this.now)
      for (const { links, others } of this.hosts) {
        others.recordTotals({ sequence: this.#sequence, work: totals.work, links: totals.links }, this.now)
        links.observePeers(others.links, this.now)
      }
    }
  }

  /** One transfer a host, each taking the stated time so many times over. */
  fetchEach (dataCentre: string, slowerBy: number): void {
    const statedMs = new StoreLinks(() => 1).transferMs(transfer(dataCentre), 0)
    for (const { links } of this.hosts) {
      const fetchMs = links.transferMs(transfer(dataCentre), this.now)
      links.observe(store, dataCentre, { fetchMs, otherMs: OTHER_MS, doublings: links.doublings(store, dataCentre, this.now) }, OTHER_MS + statedMs * slowerBy, this.now)
    }
  }

  /** How many times slower than stated the first host believes the link to be. */
  believed (dataCentre: string): number {
    return 2 ** (this.hosts[0]?.links.doublings(store, dataCentre, this.now) ?? 0)
  }
}

describe('StoreLinks', () => {
  describe('what is under way', () => {
    it('takes twice as long to another data centre', () => {
      const links = new StoreLinks(() => 1)
      expect(links.transferMs(transfer('north'), 0)).toBeCloseTo(10)
      expect(links.transferMs(transfer('south'), 0)).toBeCloseTo(20)
    })

    it('counts as many times as there are hosts while those are not heard, until it is over', () => {
      const links = new StoreLinks(() => 8)
      links.beginTransfers([transfer()])
      expect(links.backlogMs(store, 0)).toBeCloseTo(80)
      links.endTransfers([transfer()])
      expect(links.backlogMs(store, 0)).toBe(0)
    })

    it('is what all hosts have asked for, and no more than engines wait for', () => {
      const world = new LinkWorld(3)
      world.hosts[1]?.links.beginTransfers([transfer('north'), transfer('south')])
      world.exchange(100)
      expect(world.hosts[0]?.links.backlogMs(store, world.now)).toBeCloseTo(30, -1)
      world.hosts[2]?.links.beginTransfers(Array.from({ length: 500 }, () => transfer()))
      world.exchange(100)
      expect(world.hosts[0]?.links.backlogMs(store, world.now)).toBe(2000)
    })
  })

  describe('a link that turns eight times slower', () => {
    function slowed (): LinkWorld {
      const world = new LinkWorld(8)
      for (let round = 0; round < 10; round += 1) {
        world.fetchEach('south', 1)
        world.exchange(100)
      }
      expect(world.believed('south')).toBeCloseTo(1, 0)
      for (let round = 0; round < 3; round += 1) {
        world.fetchEach('south', 8)
        world.exchange(200)
      }
      return world
    }

    it('is found by all hosts after three transfers of each', () => {
      expect(slowed().believed('south')).toBeGreaterThan(2.5)
    })

    it('is told of once, and once more when it is sound', () => {
      const links = new StoreLinks(() => 1)
      const changes: unknown[] = []
      const fetchFor = (slowerBy: number, from: number): void => {
        for (let now = from; now < from + 3000; now += 50) {
          const fetchMs = links.transferMs(transfer(), now)
          links.observe(store, 'north', { fetchMs, otherMs: 0, doublings: links.doublings(store, 'north', now) }, 10 * slowerBy, now)
          changes.push(...links.observePeers(new Map(), now).map(({ link, isSlow }) => [link, isSlow]))
        }
      }
      fetchFor(1, 0)
      fetchFor(8, 3000)
      fetchFor(1, 6000)
      expect(changes).toEqual([['large>north', true], ['large>north', false]])
    })

    it('is used again soon after it is well', () => {
      const world = slowed()
      for (let round = 0; round < 10; round += 1) {
        world.fetchEach('south', 1)
        world.exchange(200)
      }
      expect(world.believed('south')).toBeLessThan(1.3)
    })

    it('is tried again when nothing was fetched over it for long', () => {
      const world = slowed()
      world.exchange(14_000)
      expect(world.believed('south')).toBeLessThan(1.3)
    })
  })

  describe('one pair of places', () => {
    it('that is slow does not take the other links of its store along', () => {
      const world = new LinkWorld(8)
      for (let round = 0; round < 20; round += 1) {
        world.fetchEach('south', 8)
        world.fetchEach('east', 1)
        world.exchange(100)
      }
      expect(world.believed('south')).toBeGreaterThan(4)
      expect(world.believed('east')).toBeLessThan(2)
    })
  })

  describe('one odd transfer', () => {
    it('among many settles nothing', () => {
      const world = new LinkWorld(8)
      for (let round = 0; round < 10; round += 1) {
        world.fetchEach('south', 1)
        world.exchange(100)
      }
      world.hosts[0]?.links.observe(store, 'south', { fetchMs: 20, otherMs: OTHER_MS, doublings: 0 }, 5000, world.now)
      world.exchange(100)
      expect(world.believed('south')).toBeLessThan(1.5)
    })

    it('is told to the others for a few seconds, and an idle link not at all', () => {
      const links = new StoreLinks(() => 1)
      links.beginTransfers([transfer('east')])
      links.endTransfers([transfer('east')])
      links.observe(store, 'south', { fetchMs: 20, otherMs: OTHER_MS, doublings: 0 }, 90, 0)
      expect(links.localLoad(1000).map(({ link }) => link)).toEqual(['large>south'])
      expect(links.localLoad(10_000)).toEqual([])
    })

    it('that came at once counts within bounds', () => {
      const links = new StoreLinks(() => 1)
      links.observe(store, 'south', { fetchMs: 500, otherMs: OTHER_MS, doublings: 0 }, 0, 0)
      expect(links.localLoad(0)).toEqual([{ link: 'large>south', pendingBytes: 0, samples: 1, slower: 0, faster: 1 }])
    })
  })
})
