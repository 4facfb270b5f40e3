import { describe, expect, it } from 'vitest'
import type { EndpointContact } from './ContactTimes.js'
import { findCut } from './findCut.js'
import { ServiceReachability } from './ServiceReachability.js'

const never = Number.POSITIVE_INFINITY

const contact = (overrides: Partial<EndpointContact> = {}): EndpointContact =>
  ({ heardAgoMs: 2000, failedAgoMs: never, failingForMs: 0, unansweredMs: 0, unansweredProbeMs: 0, heardByAnyAgoMs: 20, ...overrides })

const refused = contact({ failedAgoMs: 10, failingForMs: 300 })
const unanswered = contact({ unansweredMs: 1200 })
const probed = contact({ unansweredProbeMs: 350 })

describe('findCut', () => {
  describe('finds a cut', () => {
    it.each([
      ['endpoints that refuse connections', [refused, refused, contact()]],
      ['endpoints that do not answer', [unanswered, unanswered, contact()]],
      ['endpoints that do not answer probes', [probed, probed, contact()]],
      ['endpoints that others have heard from since the probes were sent', [contact({ unansweredProbeMs: 1500, heardByAnyAgoMs: 1400 }), contact({ unansweredProbeMs: 1500, heardByAnyAgoMs: 60_000 })]],
      ['endpoints of which others use one', [refused, { ...refused, heardByAnyAgoMs: 60_000 }, contact()]],
      ['the only endpoint', [refused]]
    ])('by %s while others hear from them', (_text, contacts) => {
      expect(findCut(contacts)).toMatchObject({ heardAgoMs: 2000 })
    })
  })

  // Guards against hosts that take faults of endpoints for a cut of their own links.
  describe('finds no cut', () => {
    it.each([
      ['a single endpoint fails', [refused, contact(), contact()]],
      ['no host hears from the endpoints, as when their processes were killed', [refused, refused].map(each => ({ ...each, heardByAnyAgoMs: 1500 }))],
      ['this host has heard from one of them since', [refused, refused, contact({ heardAgoMs: 100 })]],
      ['others were heard only before the failures', [refused, refused].map(each => ({ ...each, heardByAnyAgoMs: 400 }))],
      ['endpoints are silent for a second to all hosts', [unanswered, unanswered].map(each => ({ ...each, heardByAnyAgoMs: 1000 }))],
      ['requests have waited for less than a second', [contact({ unansweredMs: 600 }), contact({ unansweredMs: 600 })]],
      ['probes have just been sent', [contact({ unansweredProbeMs: 250 }), contact({ unansweredProbeMs: 250 })]],
      ['this host has heard from one of them since it sent the probes', [probed, probed, contact({ heardAgoMs: 300 })]],
      ['others were heard only before the probes were sent', [probed, probed].map(each => ({ ...each, unansweredProbeMs: 600, heardByAnyAgoMs: 580 }))],
      ['the service has no endpoints', []]
    ])('if %s', (_text, contacts) => {
      expect(findCut(contacts)).toBeUndefined()
    })
  })
})

describe('ServiceReachability', () => {
  const cut = [refused, refused]

  it('probes while the service is cut off, and returns gently once an endpoint has answered', () => {
    const reachability = new ServiceReachability()
    expect(reachability.admitsDirect(0, 0.99)).toBe(true)
    expect(reachability.takeDueProbe(0)).toBe(false)
    expect(reachability.check(cut, 0)).toBeDefined()
    expect(reachability.check(cut, 10)).toBeUndefined()
    expect(reachability.admitsDirect(10, 0)).toBe(false)
    expect([300, 400, 401, 800].map(now => reachability.takeDueProbe(now))).toEqual([false, true, false, true])
    expect(reachability.observeBytes(1000)).toBe(1000)
    expect(reachability.observeBytes(1001)).toBeUndefined()
    expect(reachability.admitsDirect(1000, 0.5)).toBe(false)
    expect(reachability.admitsDirect(1000, 0.05)).toBe(true)
    expect(reachability.admitsDirect(2500, 0.99)).toBe(true)
  })

  it('probes less often the more often the links break', () => {
    const reachability = new ServiceReachability()
    const firstProbes: number[] = []
    for (let now = 0; firstProbes.length < 5; now += 4000) {
      reachability.check(cut, now)
      let waited = 0
      while (!reachability.takeDueProbe(now + waited)) waited += 100
      firstProbes.push(waited)
      reachability.observeBytes(now + waited)
    }
    expect(firstProbes).toEqual([400, 800, 1600, 1600, 1600])
  })
})
