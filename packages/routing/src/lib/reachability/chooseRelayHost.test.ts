import { describe, expect, it } from 'vitest'
import { chooseRelayHost, type RelayCandidate } from './chooseRelayHost.js'

const candidate = (host: string, pending: number, isAvoided = false): RelayCandidate => ({ host, pending, isAvoided })

describe('chooseRelayHost', () => {
  it.each([
    ['the host with the fewest pending requests', [candidate('a', 2), candidate('b', 1), candidate('c', 3)], 0.99, 'b'],
    ['a random one of equals', [candidate('a', 1), candidate('b', 1), candidate('c', 2)], 0.5, 'b'],
    ['a busy host rather than one that is avoided', [candidate('a', 0, true), candidate('b', 9)], 0, 'b'],
    ['a host that is avoided if there is no other', [candidate('a', 4, true), candidate('b', 3, true)], 0, 'b']
  ])('chooses %s', (_text, candidates, random, expected) => {
    expect(chooseRelayHost(candidates, random)).toBe(expected)
  })

  it('chooses none if there is none', () => {
    expect(chooseRelayHost([], 0)).toBeUndefined()
  })
})
