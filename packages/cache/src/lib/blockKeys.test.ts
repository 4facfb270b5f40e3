import { describe, expect, it } from 'vitest'
import { blockKeys, cacheSalt } from './blockKeys.js'
import { rendezvousOrder } from './rendezvous.js'
import { ResidencyIndex } from './ResidencyIndex.js'

const scope = { cacheSecret: 'secret of ward', model: 'base', version: 'v1' }
const prompt = 'a trip history that is long enough '.repeat(30)

describe('blockKeys', () => {
  it('gives equal leading blocks equal keys, and partial blocks no key', () => {
    const salt = cacheSalt(scope)
    const keys = blockKeys(salt, prompt)
    expect(keys).toHaveLength(Math.floor(prompt.length / 256))
    expect(blockKeys(salt, prompt.slice(0, 600) + 'something else '.repeat(20)).slice(0, 2)).toEqual(keys.slice(0, 2))
  })

  it('shares no key between customers, versions or models', () => {
    const chains = [scope, { ...scope, cacheSecret: 'secret of clinic' }, { ...scope, version: 'v2' }, { ...scope, model: 'large' }]
      .map(each => blockKeys(cacheSalt(each), prompt))
    expect(new Set(chains.flat()).size).toBe(chains.flat().length)
  })
})

describe('rendezvousOrder', () => {
  it('moves only the keys of a removed node', () => {
    const nodes = ['a', 'b', 'c', 'd']
    const keys = Array.from({ length: 200 }, (_, index) => `key-${index}`)
    const moved = keys.filter(key => rendezvousOrder(key, nodes)[0] !== 'd' && rendezvousOrder(key, nodes)[0] !== rendezvousOrder(key, ['a', 'b', 'c'])[0])
    expect(moved).toEqual([])
  })
})

describe('ResidencyIndex', () => {
  const index = (): ResidencyIndex => {
    const created = new ResidencyIndex()
    created.reset('engine', ['k0', 'k1'], 5)
    return created
  }

  it('applies events in order and skips duplicates', () => {
    const residency = index()
    expect(residency.apply('engine', [{ sequence: 4, kind: 'removed', keys: ['k0'] }, { sequence: 5, kind: 'stored', keys: ['k2'] }])).toBe('applied')
    expect(residency.leadingBlocks(['k0', 'k1', 'k2', 'k3'])).toEqual(new Map([['engine', 3]]))
  })

  it('removes an engine after a gap', () => {
    const residency = index()
    expect(residency.apply('engine', [{ sequence: 7, kind: 'stored', keys: ['k2'] }])).toBe('gap')
    expect(residency.leadingBlocks(['k0'])).toEqual(new Map())
    expect(residency.nextSequence('engine')).toBeUndefined()
  })
})
