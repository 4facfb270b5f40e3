/** Short seeded runs of the soak, and runs that break each guarantee on purpose. */
import { describe, expect, it } from 'vitest'
import { ENDPOINT_BREAKS, type EndpointBreak } from './lib/standinProtocol.js'
import { loadFeatureSchema, type LoadFeature } from '@eelgrassmux/routing/features/LoadFeatures'
import { FAULT_KINDS, LOAD_FAULT_KINDS, type FaultKind } from './lib/faultPlan.js'
import type { GuaranteeName } from './lib/RequestHistory.js'
import { runSoak, type SoakBreak, type SoakResult } from './lib/runSoak.js'

/** The runs start real processes on processors that may be busy; only a hang takes this long. */
const TIMEOUT_MS = 240_000

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

interface ShortRun {
  readonly seconds: number
  readonly breaks?: readonly SoakBreak[]
  readonly kinds?: readonly FaultKind[]
  readonly recoveryMs?: number
  readonly poisonRequests?: number
  readonly loadFeatures?: readonly LoadFeature[]
}

async function play ({ seconds, breaks = [], kinds = FAULT_KINDS, recoveryMs = 60_000, poisonRequests = 0, loadFeatures = [] }: ShortRun): Promise<SoakResult> {
  const shape = { controls: 3, entries: 4, plainEndpoints: 3, engines: 3 }
  return await runSoak({ seed: 1, seconds, breaks, kinds, recoveryMs, shape, callers: 32, graceMs: 8000, poisonRequests, loadFeatures })
}

function describeRun ({ violations, timeline, logFiles }: SoakResult): string {
  return [...violations.map(({ guarantee, detail }) => `${guarantee}: ${detail}`), ...logFiles, ...timeline].join('\n')
}

describe('a soak of real processes', () => {
  it('keeps every promise under seeded faults', async () => {
    const result = await play({ seconds: 10 })
    expect(result.requests).toBeGreaterThan(0)
    expect(result.violations, describeRun(result)).toEqual([])
  }, TIMEOUT_MS)

  /**
   * Guards against a request that crashes one engine after another. One short request crashed ten engines in 14 s,
   * each 70 to 240 ms after its arrival and through any host, and each crash cut off 5 to 19 other requests. It was
   * sent with the same customer, path and body under new ids. No host knew of the earlier attempts, because hosts
   * counted failures against endpoints only.
   */
  it('stops sending a request that ends every endpoint that runs it, and serves those beside it', async () => {
    const result = await play({ seconds: 12, kinds: ['new-site'], poisonRequests: 1 })
    expect(result.violations, describeRun(result)).toEqual([])
  }, TIMEOUT_MS)

  // Guards against hosts that ignore what endpoints ask of them in their answers.
  it('keeps pauses and rates that endpoints ask for, and sends nothing to those that say they leave', async () => {
    const result = await play({ seconds: 12, kinds: ['new-site', 'restraint', 'restraint', 'restrained-service', 'kill'] })
    expect(result.violations, describeRun(result)).toEqual([])
  }, TIMEOUT_MS)

  // Guards against hosts that refuse their callers while they are partitioned from all endpoints and other hosts are not.
  it('serves callers of hosts that are cut off from all endpoints', async () => {
    const result = await play({ seconds: 12, kinds: ['host-cut', 'new-site'] })
    expect(result.violations, describeRun(result)).toEqual([])
  }, TIMEOUT_MS)

  // Guards against hosts that together send a brittle endpoint more than it can reject without failing.
  it('lets no more brittle endpoints fall over than may', async () => {
    const result = await play({ seconds: 12, kinds: ['brittle-service', 'new-site'] })
    expect(result.violations, describeRun(result)).toEqual([])
  }, TIMEOUT_MS)

  it('sends nothing to data centres that are evacuated, and little to endpoints that come back cold', async () => {
    const result = await play({ seconds: 12, kinds: ['evacuation', 'cold-return', 'cold-return', 'pause'] })
    expect(result.violations, describeRun(result)).toEqual([])
  }, TIMEOUT_MS)

  // Guards against features for hard load that break a promise, exceed the retry budget or starve a customer while callers compete.
  it('keeps every promise under a burst, slow readers, slow machines and a full service, with all features for hard load', async () => {
    const result = await play({ seconds: 12, kinds: [...LOAD_FAULT_KINDS, 'new-site', 'kill'], loadFeatures: loadFeatureSchema.options })
    expect(result.violations, describeRun(result)).toEqual([])
  }, TIMEOUT_MS)

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
