import { describe, expect, it } from 'vitest'
import type { StoreService } from '@eelgrassmux/schema/site/siteSchema'
import { LoadAggregator } from '../load/LoadAggregator.js'
import { PeerLoad } from '../load/PeerLoad.js'
import { StoreLinks, type StoreTransfer } from './StoreLinks.js'

const store: StoreService = { type: 'store', name: 'large', address: '10.0.0.5:1', dataCentre: 'north', cacheTokens: 2_000_000, linkMbps: 100_000, firstByteMs: 1, isManaged: true }

/** A transfer that takes 10 ms within the store's data centre and 20 ms to another. */
const transfer = (dataCentre = 'north'): StoreTransfer => ({ store, dataCentre, bytes: 125_000_000 })

/** Time to the first event without the fetch. */
const OTHER_MS = 50

/** Simulates hosts that exchange their load twenty times a second. */
class LinkSimulation {
  readonly #aggregator = new LoadAggregator()
  readonly hosts: Array<{ readonly links: StoreLinks, readonly peerLoad: PeerLoad }>
  now = 0
  #sequence = 0

  constructor (count: number) {
    this.hosts = Array.from({ length: count }, () => ({ links: new StoreLinks(() => count), peerLoad: new PeerLoad() }))
  }

  exchange (milliseconds: number): void {
    for (const end = this.now + milliseconds; this.now < end; this.now += 50) {
      this.#sequence += 1
      this.hosts.forEach(({ links, peerLoad }, host) => {
        const own = { work: [], links: links.localLoad(this.now) }
        peerLoad.recordOwnReport(this.#sequence, own, this.now)
        this.#aggregator.observe({ host: `h${host}`, sequence: this.#sequence, ...own }, this.now)
      })
      const totals = this.#aggregator.totals(this.now)
      for (const { links, peerLoad } of this.hosts) {
        peerLoad.recordTotals({ sequence: this.#sequence, work: totals.work, links: totals.links }, this.now)
        links.observePeers(peerLoad.links, this.now)
      }
    }
  }

  /** Observes one transfer on each host, which takes a multiple of the stated time. */
  fetchEach (dataCentre: string, slowerBy: number): void {
    const statedMs = new StoreLinks(() => 1).transferMs(transfer(dataCentre), 0)
    for (const { links } of this.hosts) {
      const fetchMs = links.transferMs(transfer(dataCentre), this.now)
      links.observe(store, dataCentre, { fetchMs, otherMs: OTHER_MS, doublings: links.doublings(store, dataCentre, this.now) }, OTHER_MS + statedMs * slowerBy, this.now)
    }
  }

  /** Returns the slowdown of the link that the first host estimates. */
  estimatedSlowdown (dataCentre: string): number {
    return 2 ** (this.hosts[0]?.links.doublings(store, dataCentre, this.now) ?? 0)
  }
}

describe('StoreLinks', () => {
  describe('pending transfers', () => {
    it('take twice as long to another data centre', () => {
      const links = new StoreLinks(() => 1)
      expect(links.transferMs(transfer('north'), 0)).toBeCloseTo(10)
      expect(links.transferMs(transfer('south'), 0)).toBeCloseTo(20)
    })

    it('count once for each host while the load of the other hosts is unknown, until they end', () => {
      const links = new StoreLinks(() => 8)
      links.beginTransfers([transfer()])
      expect(links.backlogMs(store, 0)).toBeCloseTo(80)
      links.endTransfers([transfer()])
      expect(links.backlogMs(store, 0)).toBe(0)
    })

    it('include those of all hosts, up to the time that engines wait', () => {
      const simulation = new LinkSimulation(3)
      simulation.hosts[1]?.links.beginTransfers([transfer('north'), transfer('south')])
      simulation.exchange(100)
      expect(simulation.hosts[0]?.links.backlogMs(store, simulation.now)).toBeCloseTo(30, -1)
      simulation.hosts[2]?.links.beginTransfers(Array.from({ length: 500 }, () => transfer()))
      simulation.exchange(100)
      expect(simulation.hosts[0]?.links.backlogMs(store, simulation.now)).toBe(2000)
    })
  })

  describe('a link that turns eight times slower', () => {
    function slowedSimulation (): LinkSimulation {
      const simulation = new LinkSimulation(8)
      for (let round = 0; round < 10; round += 1) {
        simulation.fetchEach('south', 1)
        simulation.exchange(100)
      }
      expect(simulation.estimatedSlowdown('south')).toBeCloseTo(1, 0)
      for (let round = 0; round < 3; round += 1) {
        simulation.fetchEach('south', 8)
        simulation.exchange(200)
      }
      return simulation
    }

    it('is detected by all hosts after three transfers of each', () => {
      expect(slowedSimulation().estimatedSlowdown('south')).toBeGreaterThan(2.5)
    })

    it('is reported once, and once more when it has recovered', () => {
      const links = new StoreLinks(() => 1)
      const changes: unknown[] = []
      const observeFetches = (slowerBy: number, from: number): void => {
        for (let now = from; now < from + 3000; now += 50) {
          const fetchMs = links.transferMs(transfer(), now)
          links.observe(store, 'north', { fetchMs, otherMs: 0, doublings: links.doublings(store, 'north', now) }, 10 * slowerBy, now)
          changes.push(...links.observePeers(new Map(), now).map(({ link, isSlow }) => [link, isSlow]))
        }
      }
      observeFetches(1, 0)
      observeFetches(8, 3000)
      observeFetches(1, 6000)
      expect(changes).toEqual([['large>north', true], ['large>north', false]])
    })

    it('is used again soon after it recovers', () => {
      const simulation = slowedSimulation()
      for (let round = 0; round < 10; round += 1) {
        simulation.fetchEach('south', 1)
        simulation.exchange(200)
      }
      expect(simulation.estimatedSlowdown('south')).toBeLessThan(1.3)
    })

    it('is tried again when nothing was fetched over it for a long time', () => {
      const simulation = slowedSimulation()
      simulation.exchange(14_000)
      expect(simulation.estimatedSlowdown('south')).toBeLessThan(1.3)
    })
  })

  describe('one slow link', () => {
    it('does not slow the estimates of the other links of its store', () => {
      const simulation = new LinkSimulation(8)
      for (let round = 0; round < 20; round += 1) {
        simulation.fetchEach('south', 8)
        simulation.fetchEach('east', 1)
        simulation.exchange(100)
      }
      expect(simulation.estimatedSlowdown('south')).toBeGreaterThan(4)
      expect(simulation.estimatedSlowdown('east')).toBeLessThan(2)
    })
  })

  describe('an outlier', () => {
    it('among many transfers hardly changes the estimate', () => {
      const simulation = new LinkSimulation(8)
      for (let round = 0; round < 10; round += 1) {
        simulation.fetchEach('south', 1)
        simulation.exchange(100)
      }
      simulation.hosts[0]?.links.observe(store, 'south', { fetchMs: 20, otherMs: OTHER_MS, doublings: 0 }, 5000, simulation.now)
      simulation.exchange(100)
      expect(simulation.estimatedSlowdown('south')).toBeLessThan(1.5)
    })

    it('is reported to other hosts for a few seconds, and an idle link is not reported at all', () => {
      const links = new StoreLinks(() => 1)
      links.beginTransfers([transfer('east')])
      links.endTransfers([transfer('east')])
      links.observe(store, 'south', { fetchMs: 20, otherMs: OTHER_MS, doublings: 0 }, 90, 0)
      expect(links.localLoad(1000).map(({ link }) => link)).toEqual(['large>south'])
      expect(links.localLoad(10_000)).toEqual([])
    })

    it('that arrives immediately is clamped', () => {
      const links = new StoreLinks(() => 1)
      links.observe(store, 'south', { fetchMs: 500, otherMs: OTHER_MS, doublings: 0 }, 0, 0)
      expect(links.localLoad(0)).toEqual([{ link: 'large>south', pendingBytes: 0, samples: 1, slower: 0, faster: 1 }])
    })
  })
})
