import { describe, expect, it } from 'vitest'
import { chooseOriginHolders } from './chooseOriginHolders.js'
import { MAX_SEARCH_MS, OriginSearch, type OwnView } from './OriginSearch.js'
import { MAX_LIST_SKEW_MS, NEW_VERSION_DELAY_MS, PossibleOrigins } from './PossibleOrigins.js'
import { StreamOrigins } from './StreamOrigins.js'
import type { OriginAnswer, StreamOrigin } from './streamOrigin.js'

const OLD: StreamOrigin = { service: 'pool', software: 'v1' }
const NEW: StreamOrigin = { service: 'pool', software: 'v2' }
const SITE = { routes: [{ name: 'chat', isResumable: true, targets: [{ service: 'pool', weight: 1 }] }] }

/** Number of control hosts, and how long ago streams may have begun, in milliseconds. */
const CONTROL_HOSTS = 3
const MAX_AGE_MS = 10_000

describe('StreamOrigins', () => {
  it('forgets a stream once its caller can no longer resume it', () => {
    const origins = new StreamOrigins()
    origins.record({ id: 'a', origin: OLD, keepMs: 100 }, 0)
    expect(origins.find('a', 99)).toEqual(OLD)
    expect(origins.find('a', 100)).toBeUndefined()
  })

  it('does not know a stream whose id was recorded with two origins', () => {
    const origins = new StreamOrigins()
    for (const origin of [OLD, NEW]) origins.record({ id: 'a', origin, keepMs: 100 }, 0)
    expect(origins.find('a', 1)).toBeUndefined()
  })

  it('forgets the oldest streams beyond its bound', () => {
    const origins = new StreamOrigins(2)
    for (const id of ['a', 'b', 'c']) origins.record({ id, origin: OLD, keepMs: 100 }, 0)
    expect([origins.size, origins.find('a', 1), origins.find('c', 1)]).toEqual([2, undefined, OLD])
  })
})

describe('PossibleOrigins', () => {
  it('has several from the first list with a second version until a minute after the last one', () => {
    const possible = new PossibleOrigins()
    possible.observe(SITE, [OLD, OLD], 0)
    expect(possible.hasSeveral('chat')).toBe(false)
    possible.observe(SITE, [OLD, NEW], 1000)
    possible.observe(SITE, [NEW, NEW], 2000)
    possible.observe(SITE, [NEW, NEW], 61_999)
    expect(possible.hasSeveral('chat')).toBe(true)
    possible.observe(SITE, [NEW, NEW], 62_000)
    expect(possible.hasSeveral('chat')).toBe(false)
  })

  it('counts a new version as used only once other hosts may use it', () => {
    const possible = new PossibleOrigins()
    possible.observe(SITE, [OLD, OLD], 0)
    possible.observe(SITE, [OLD, NEW], 1000)
    expect(possible.newVersionsOf('pool', 1000)).toEqual(new Set(['v2']))
    expect(possible.begunBy('chat', 1000)).toEqual([OLD])
    expect(possible.begunBy('chat', 1000 + MAX_LIST_SKEW_MS)).toEqual([OLD, NEW])
    expect(possible.newVersionsOf('pool', 1000 + NEW_VERSION_DELAY_MS)).toBeUndefined()
  })
})

describe('OriginSearch', () => {
  const KNOWS_OLD: OwnView = { possible: [OLD], isRecent: true, observedMs: MAX_AGE_MS }
  const answer = (overrides: Partial<OriginAnswer> = {}): OriginAnswer => ({ possible: [OLD], isRecent: true, observedMs: MAX_AGE_MS, ...overrides })

  function search (own: OwnView, ...answers: readonly OriginAnswer[]): OriginSearch {
    const started = new OriginSearch(own, MAX_AGE_MS, CONTROL_HOSTS, 0)
    answers.forEach((each, index) => { started.observeAnswer(`control-${index}`, each) })
    return started
  }

  it('finds what a control host has recorded', () => {
    expect(search(KNOWS_OLD, answer({ origin: NEW })).next(1)).toMatchObject({ kind: 'found', origin: NEW })
  })

  it('takes the only origin if a majority has seen no other one', () => {
    expect(search(KNOWS_OLD, answer()).next(1)).toMatchObject({ kind: 'ask' })
    expect(search(KNOWS_OLD, answer(), answer()).next(1)).toMatchObject({ kind: 'found', origin: OLD })
  })

  it.each<[string, OwnView, readonly OriginAnswer[]]>([
    ['a control host has seen another version', KNOWS_OLD, [answer(), answer({ possible: [OLD, NEW] }), answer()]],
    ['a host out of touch has an old list', { ...KNOWS_OLD, isRecent: false }, []],
    ['nobody has followed the list for long enough', { ...KNOWS_OLD, observedMs: 100 }, [answer({ observedMs: 100 }), answer({ observedMs: 100 })]]
  ])('does not know the stream if %s', (_case, own, answers) => {
    expect(search(own, ...answers).next(MAX_SEARCH_MS)).toEqual({ kind: 'unknown' })
  })

  it('takes the only origin if nobody can read the list', () => {
    const stale = answer({ isRecent: false })
    expect(search({ ...KNOWS_OLD, isRecent: false }, stale, stale).next(MAX_SEARCH_MS)).toMatchObject({ kind: 'found', origin: OLD })
  })
})

describe('chooseOriginHolders', () => {
  it('draws a majority, and different ones for different hosts', () => {
    const control = ['a', 'b', 'c', 'd', 'e']
    const drawn = Array.from({ length: 50 }, (_, index) => chooseOriginHolders(`host-${index}`, control))
    expect(drawn.every(holders => new Set(holders).size === 3)).toBe(true)
    expect(new Set(drawn.flat()).size).toBe(5)
  })
})
