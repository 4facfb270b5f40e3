import { describe, expect, it } from 'vitest'
import { DirectoryShard, type ShardSettings } from './DirectoryShard.js'

const SETTINGS: ShardSettings = { readLeaseMs: 100, writeReservationMs: 200, ownershipMs: 50, deletionMs: 30, customerShare: 0.5, blocksPerObject: 4 }

/** First time at which a new owner may free something. */
const SETTLED = 281

const chain = (name: string, length: number, shared: readonly string[] = []): string[] =>
  [...shared, ...Array.from({ length: length - shared.length }, (_, index) => `${name}${shared.length + index}`)]

const ACKNOWLEDGED = { bytes: 400, sha256: 'sum', tier: 'memory' as const }

function newShard (): DirectoryShard {
  return new DirectoryShard(3, 7, SETTINGS, 0)
}

/** Writes all of a chain. */
function store (shard: DirectoryShard, keys: readonly string[], now: number, customer = 'ward'): string[] {
  const names: string[] = []
  for (;;) {
    const reserved = shard.reserve({ customer, store: 's', keys, tokensPerBlock: 64 }, now)
    if (reserved === undefined) return names
    shard.publish(reserved.name, ACKNOWLEDGED, now)
    names.push(reserved.name)
  }
}

describe('DirectoryShard', () => {
  describe('writing', () => {
    it('gives each object a name used once, under shard and epoch', () => {
      const shard = newShard()
      expect(store(shard, chain('a', 10), 0)).toEqual(['s3-e7-n1', 's3-e7-n2', 's3-e7-n3'])
    })

    it('does not show an object before the store acknowledged it', () => {
      const shard = newShard()
      shard.reserve({ customer: 'ward', store: 's', keys: chain('a', 3), tokensPerBlock: 64 }, 0)
      expect(shard.coverage(chain('a', 3))).toEqual([])
    })

    it('does not reserve what is stored or being written', () => {
      const shard = newShard()
      const request = { customer: 'ward', store: 's', keys: chain('a', 3), tokensPerBlock: 64 }
      expect(shard.reserve(request, 0)?.keys).toEqual(['a0', 'a1', 'a2'])
      expect(shard.reserve(request, 1)).toBeUndefined()
    })

    it('does not publish after the reservation has lapsed', () => {
      const shard = newShard()
      const reserved = shard.reserve({ customer: 'ward', store: 's', keys: chain('a', 3), tokensPerBlock: 64 }, 0)
      expect(shard.publish(reserved?.name ?? '', ACKNOWLEDGED, 201)).toBe(false)
      expect(shard.isOrphan(reserved?.name ?? '', SETTLED)).toBe(true)
    })
  })

  describe('reading', () => {
    it('covers a chain that shares only the beginning of a stored object', () => {
      const shard = newShard()
      store(shard, chain('a', 4), 0)
      const other = chain('b', 9, ['a0', 'a1'])
      store(shard, other, 0)
      expect(shard.coverage(other).map(({ coversTo }) => coversTo)).toEqual([2, 6, 9])
      expect(shard.lease(other, 0, () => 'l', 0).map(lease => lease.object.name)).toEqual(['s3-e7-n1', 's3-e7-n2', 's3-e7-n3'])
    })

    it('leases from a block on', () => {
      const shard = newShard()
      store(shard, chain('a', 12), 0)
      expect(shard.lease(chain('a', 12), 4, () => 'l', 0).map(lease => lease.object.keys[0])).toEqual(['a4', 'a8'])
    })
  })

  describe('freeing', () => {
    it('waits for the last lease of an unpublished object', () => {
      const shard = newShard()
      const [name = ''] = store(shard, chain('a', 3), SETTLED)
      shard.lease(chain('a', 3), 0, () => 'l', 300)
      shard.unpublish(name)
      expect(shard.lease(chain('a', 3), 0, () => 'l', 301)).toEqual([])
      expect(shard.deletable(400)).toEqual([])
      expect(shard.deletable(401)).toEqual([{ store: 's', name }])
    })

    it('frees nothing until leases of an earlier owner have ended', () => {
      const shard = newShard()
      const [name = ''] = store(shard, chain('a', 3), 0)
      shard.unpublish(name)
      expect(shard.deletable(SETTLED - 2)).toEqual([])
      expect(shard.isOrphan('s3-e6-n9', SETTLED - 2)).toBe(false)
      expect(shard.deletable(SETTLED)).toEqual([{ store: 's', name }])
    })

    it('adopts what an earlier owner published, once its last deletion must have arrived', () => {
      const shard = newShard()
      const object = { name: 's3-e6-n1', store: 's', customer: 'ward', keys: ['a0', 'a1'], bytes: 9, sha256: '', tier: 'disk' as const, tokens: 128, firstBlock: 0 }
      expect(shard.adopt(object, 79)).toBe(false)
      expect(shard.adopt(object, 80)).toBe(true)
      expect(shard.coverage(chain('a', 2))).toEqual([{ object, coversTo: 2 }])
      expect(shard.adopt(object, 81)).toBe(false)
    })

    it('forgets what a store lost, but not what was published after its listing', () => {
      const shard = newShard()
      store(shard, chain('a', 3), 0)
      const expected = new Set(shard.objectNamesIn('s'))
      store(shard, chain('b', 3), 0)
      shard.reconcileStore('s', expected, new Set())
      expect(shard.coverage(chain('a', 3))).toEqual([])
      expect(shard.coverage(chain('b', 3))).toHaveLength(1)
    })
  })

  describe('eviction', () => {
    it('takes the least used first, and the end of a chain before its beginning', () => {
      const shard = newShard()
      store(shard, chain('a', 8), 0)
      store(shard, chain('b', 8), 0)
      shard.lease(chain('b', 8), 0, () => 'l', 50)
      expect(shard.evict('s', 400, 5000)).toEqual(['s3-e7-n2'])
      expect(shard.evict('s', 400, 5000)).toEqual(['s3-e7-n1'])
    })

    it('takes from a customer over its share before all others', () => {
      const shard = newShard()
      store(shard, chain('large', 16), 4000, 'large')
      store(shard, chain('small', 4), 0, 'small')
      const victims = shard.evict('s', 800, 5000)
      expect(victims).toEqual(['s3-e7-n4', 's3-e7-n3'])
    })
  })
})
