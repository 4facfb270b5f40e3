/** Short runs of the soak that break each guarantee on purpose, so that its checks are known to find it. */
import { describe, expect, it } from 'vitest'
import { ENDPOINT_BREAKS, type EndpointBreak } from './lib/standinProtocol.js'
import type { GuaranteeName } from './lib/RequestHistory.js'
import { play, TIMEOUT_MS } from './lib/testing/playShort.js'

const GUARANTEE_BROKEN_BY: Record<EndpointBreak, GuaranteeName> = {
  'run-twice': 'at-most-once',
  'run-then-reject': 'not-run-is-true',
  'foreign-answer': 'whole-answers',
  'event-missing': 'events-in-order',
  'event-doubled': 'events-in-order',
  'early-end': 'events-in-order',
  'mixed-weights': 'one-weight-version',
  'mixed-software': 'one-software-version',
  'other-customer': 'customers-apart',
  cut: 'nothing-is-cut'
}

describe('a soak of real processes', () => {
  describe('with a break', () => {
    it('finds hosts that retry more than the budget allows', async () => {
      const { violations } = await play({ seconds: 6, breaks: ['unlimited-retries'], kinds: ['full-service'] })
      expect(violations.map(({ guarantee }) => guarantee)).toContain('retry-budget-is-kept')
    }, TIMEOUT_MS)

    it('finds hosts that serve nobody while they are cut off', async () => {
      const { violations } = await play({ seconds: 12, breaks: ['hosts-alone'], kinds: ['host-cut'] })
      expect(violations.map(({ guarantee }) => guarantee)).toContain('cut-off-hosts-serve')
    }, TIMEOUT_MS)

    it('finds hosts that make brittle endpoints fall over', async () => {
      const { violations } = await play({ seconds: 12, breaks: ['deaf-hosts'], kinds: ['brittle-service'] })
      expect(violations.map(({ guarantee }) => guarantee)).toContain('brittle-endpoints-stand')
    }, TIMEOUT_MS)

    it('finds hosts that read answers without end', async () => {
      const { violations } = await play({ seconds: 8, breaks: ['connections-left-open'], kinds: ['endless-answers'], recoveryMs: 1000 })
      expect(violations.map(({ guarantee }) => guarantee)).toContain('endless-answers-are-closed')
    }, TIMEOUT_MS)

    it('finds hosts that believe statements of other sends', async () => {
      const { violations } = await play({ seconds: 12, breaks: ['credulous-hosts'], kinds: ['second-answers'], loadFeatures: ['waiting-order'] })
      expect(violations.map(({ guarantee }) => guarantee)).toContain('not-run-is-true')
    }, TIMEOUT_MS)

    it('finds hosts that answer bytes behind a call in place of the call', async () => {
      const { violations } = await play({ seconds: 8, breaks: ['hasty-hosts'], kinds: ['bytes-behind'] })
      expect(violations.map(({ guarantee }) => guarantee)).toContain('not-run-is-true')
    }, TIMEOUT_MS)

    it('finds hosts that refuse the requests of a crowd', async () => {
      const { violations } = await play({ seconds: 12, breaks: ['frail-hosts'], kinds: ['crowd'] })
      expect(violations.map(({ guarantee }) => guarantee)).toContain('crowded-hosts-serve')
    }, TIMEOUT_MS)

    it('finds hosts that do not read what endpoints ask of them', async () => {
      const { violations } = await play({ seconds: 14, breaks: ['deaf-hosts'], kinds: ['restraint', 'restrained-service'] })
      const guarantees = new Set(violations.map(({ guarantee }) => guarantee))
      expect([...guarantees]).toEqual(expect.arrayContaining(['pauses-are-kept', 'rates-are-kept', 'leaving-is-heeded']))
    }, TIMEOUT_MS)

    it('finds each that an endpoint shows', async () => {
      const { violations } = await play({ seconds: 6, breaks: ENDPOINT_BREAKS, kinds: ['new-site'] })
      const found = ENDPOINT_BREAKS.filter(name => violations.some(({ guarantee, provokedBy }) => provokedBy === name && guarantee === GUARANTEE_BROKEN_BY[name]))
      expect(found).toEqual(ENDPOINT_BREAKS)
    }, TIMEOUT_MS)

    it('finds planned stops that end a host at once', async () => {
      const { violations } = await play({ seconds: 1, breaks: ['abrupt-stop'], kinds: ['rolling-stop'] })
      const guarantees = violations.map(({ guarantee }) => guarantee)
      expect(guarantees).toContain('nothing-is-cut')
      expect(guarantees).toContain('ends-when-told')
    }, TIMEOUT_MS)

    it('finds hosts that end by themselves', async () => {
      const { violations } = await play({ seconds: 6, breaks: ['ending-hosts'], kinds: ['new-site'], recoveryMs: 1000 })
      expect(violations.map(({ guarantee }) => guarantee)).toContain('ends-when-told')
    }, TIMEOUT_MS)

    it('finds hosts that hold more memory than they are told', async () => {
      const { violations, timeline } = await play({ seconds: 8, breaks: ['hoarding-hosts'], kinds: ['new-site'], recoveryMs: 1000 })
      expect(violations.map(({ guarantee }) => guarantee)).toContain('ends-when-told')
      expect(timeline.join('\n')).toContain('is above its memory')
    }, TIMEOUT_MS)

    it('finds sites and weights that were acknowledged and are not in force', async () => {
      const { violations } = await play({ seconds: 3, breaks: ['forgetful-control'], kinds: ['new-site', 'new-weights'], recoveryMs: 1000 })
      const guarantees = violations.map(({ guarantee }) => guarantee)
      expect(guarantees).toContain('configuration-never-reverts')
      expect(guarantees).toContain('recovers')
    }, TIMEOUT_MS)

    it('finds evacuations that were acknowledged and are not in force, and cold endpoints that get too much', async () => {
      const { violations } = await play({ seconds: 12, breaks: ['forgetful-control', 'no-cold-rate'], kinds: ['evacuation', 'cold-return'], recoveryMs: 1000 })
      const guarantees = new Set(violations.map(({ guarantee }) => guarantee))
      expect([...guarantees]).toEqual(expect.arrayContaining(['evacuations-hold', 'cold-rates-are-kept']))
    }, TIMEOUT_MS)
  })
})
