import { describe, expect, it } from 'vitest'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import { NO_ENDPOINT_LOAD, type LoadFigures } from '../load/loadReport.js'
import { PeerLoad } from '../load/PeerLoad.js'
import { PromptResidencyTracker } from '../prompts/PromptResidencyTracker.js'
import { homeEndpoint } from '../prompts/homeEndpoint.js'
import { StoreLinks } from '../stores/StoreLinks.js'
import type { StorePlan } from '../stores/StoredPartsIndex.js'
import { chooseEndpoint } from './chooseEndpoint.js'
import type { EndpointQuery, EndpointChoice, PromptQuery } from './endpointQuery.js'
import { EndpointState } from './EndpointState.js'
import { EngineModel } from './EngineModel.js'
import { StreamPaceModel } from './StreamPaceModel.js'

const MODEL = 'summary'

function listed (id: string, overrides: Partial<ListedEndpoint> = {}): ListedEndpoint {
  return {
    id, service: 'pool', address: `10.0.0.1:${id.length}`, dataCentre: 'north', slots: 48, isLeaving: false, isBusy: false, models: [{ model: MODEL, version: 1 }], ...overrides
  }
}

function engines (count: number): EndpointState[] {
  return Array.from({ length: count }, (_, number) => new EndpointState(listed(`e${number}`)))
}

const NOTHING_STORED: StorePlan = { fetches: [], saves: [], storedTokens: 0 }

function promptQuery (overrides: Partial<PromptQuery> = {}): PromptQuery {
  return {
    description: {
      model: MODEL,
      promptTokens: 12_000,
      outputTokens: 400,
      parts: [{ id: 'common', tokens: 500 }, { id: 'trip', tokens: 8600 }, { id: 'own', tokens: 2900 }]
    },
    desiredVersion: 1,
    objectiveRemainingMs: 600,
    remainingMsOn: () => Number.POSITIVE_INFINITY,
    requiredVersion: undefined,
    engine: new EngineModel(),
    memoryTokens: 110_000,
    scope: version => `v${version}`,
    stored: () => NOTHING_STORED,
    links: new StoreLinks(() => 8),
    bytesPerToken: 131_072,
    ...overrides
  }
}

function query (prompt?: PromptQuery, overrides: Partial<EndpointQuery> = {}): EndpointQuery {
  return { excluded: new Set(), dataCentre: 'north', others: undefined, ...(prompt === undefined ? {} : { prompt }), ...overrides }
}

function chosen (choice: EndpointChoice | string): EndpointChoice {
  if (typeof choice === 'string') throw new Error(choice)
  return choice
}

describe('chooseEndpoint', () => {
  // Guards against one endpoint with a cost that is no number, which put all others out of use.
  it('chooses among the others if the cost of one endpoint is undefined', () => {
    const endpoints = engines(3)
    endpoints[1]?.observeLoad({ running: Number.NaN, waiting: 0, slots: 8 }, 0)
    for (const random of [0, 0.4, 0.99]) expect(chosen(chooseEndpoint(endpoints, query(), new PromptResidencyTracker(), 1, random)).endpoint.id).not.toBe('e1')
  })

  describe('prompts with a shared part', () => {
    it('go to the same home endpoint from every host while engines are equally busy', () => {
      const fleet = engines(8)
      const home = homeEndpoint('trip', fleet.map(engine => engine.id))
      for (const random of [0, 0.3, 0.6, 0.99]) {
        expect(chosen(chooseEndpoint(fleet, query(promptQuery()), new PromptResidencyTracker(), 0, random)).endpoint.id).toBe(home)
      }
    })

    it('leave a home endpoint whose queue costs more than prefilling elsewhere', () => {
      const fleet = engines(8)
      const home = homeEndpoint('trip', fleet.map(engine => engine.id))
      fleet.find(engine => engine.id === home)?.beginRequest(60_000, 60_000, 0)
      expect(chosen(chooseEndpoint(fleet, query(promptQuery()), new PromptResidencyTracker(), 0, 0)).endpoint.id).not.toBe(home)
    })

    it('go where this host has sent them before', () => {
      const fleet = engines(8)
      const home = homeEndpoint('trip', fleet.map(engine => engine.id))
      const other = fleet.find(engine => engine.id !== home)
      const memory = new PromptResidencyTracker()
      memory.recordSend('v1', promptQuery().description.parts.slice(0, 2), other?.id ?? '', 0)
      expect(chosen(chooseEndpoint(fleet, query(promptQuery()), memory, 1000, 0)).endpoint.id).toBe(other?.id)
    })

    it('need only their own part prefilled where a store holds the rest', () => {
      const store = { type: 'store' as const, name: 's', address: '10.0.0.9:1', dataCentre: 'north', cacheTokens: 1e6, linkMbps: 590_000, firstByteMs: 6, isManaged: true }
      const stored: StorePlan = { fetches: [store, store], saves: [], storedTokens: 9100 }
      const choice = chosen(chooseEndpoint(engines(8), query(promptQuery({ stored: () => stored })), new PromptResidencyTracker(), 0, 0))
      expect(choice.prefill.tokensToRead).toBe(2900)
    })

    it('prefer an engine near the store while its link determines the time', () => {
      const store = { type: 'store' as const, name: 's', address: '10.0.0.9:1', dataCentre: 'south', cacheTokens: 1e6, linkMbps: 100_000, firstByteMs: 6, isManaged: true }
      const stored: StorePlan = { fetches: [store, store], saves: [], storedTokens: 9100 }
      const fleet = [new EndpointState(listed('a')), new EndpointState(listed('b', { dataCentre: 'south' }))]
      const choice = chosen(chooseEndpoint(fleet, query(promptQuery({ stored: () => stored })), new PromptResidencyTracker(), 0, 0))
      expect(choice.endpoint.listed.dataCentre).toBe('south')
    })
  })

  describe('many hosts at once', () => {
    it('do not all choose the engine that is busy with work of the others', () => {
      const fleet = engines(2)
      const home = homeEndpoint('trip', fleet.map(engine => engine.id)) ?? ''
      const others = new PeerLoad()
      others.recordOwnReport(1, { work: [], links: [] }, 0)
      others.recordTotals({ sequence: 1, work: [{ ...NO_ENDPOINT_LOAD, endpoint: home, inFlight: 6, pendingTokens: 40_000, heldTokens: 70_000 }], links: [] }, 0)
      expect(chosen(chooseEndpoint(fleet, query(promptQuery(), { others }), new PromptResidencyTracker(), 0, 0)).endpoint.id).not.toBe(home)
    })

    it('avoid an engine whose memory is full, though it has nothing to prefill', () => {
      const fleet = engines(2)
      const home = homeEndpoint('trip', fleet.map(engine => engine.id)) ?? ''
      const others = new PeerLoad()
      others.recordOwnReport(1, { work: [], links: [] }, 0)
      others.recordTotals({ sequence: 1, work: [{ ...NO_ENDPOINT_LOAD, endpoint: home, inFlight: 9, pendingTokens: 0, heldTokens: 105_000 }], links: [] }, 0)
      expect(chosen(chooseEndpoint(fleet, query(promptQuery(), { others }), new PromptResidencyTracker(), 0, 0)).endpoint.id).not.toBe(home)
    })
  })

  describe('an engine that is slower than estimated', () => {
    it('gets fewer requests, and is tried again after a while', () => {
      const fleet = engines(2)
      const home = homeEndpoint('trip', fleet.map(engine => engine.id)) ?? ''
      const slow = fleet.find(engine => engine.id === home)
      for (let request = 0; request < 20; request += 1) slow?.slowness.observe(1500, 200, 0)
      expect(chosen(chooseEndpoint(fleet, query(promptQuery()), new PromptResidencyTracker(), 0, 0)).endpoint.id).not.toBe(home)
      expect(chosen(chooseEndpoint(fleet, query(promptQuery()), new PromptResidencyTracker(), 60_000, 0)).endpoint.id).toBe(home)
    })
  })

  describe('weights', () => {
    const old = (): EndpointState => new EndpointState(listed('old'))
    const fresh = (): EndpointState => new EndpointState(listed('fresh', { models: [{ model: MODEL, version: 2 }] }))

    it('are the newest if any engine holds them', () => {
      expect(chosen(chooseEndpoint([old(), fresh()], query(promptQuery({ desiredVersion: 2 })), new PromptResidencyTracker(), 0, 0)).version).toBe(2)
    })

    it('are older ones if no engine holds the newest', () => {
      expect(chosen(chooseEndpoint([old()], query(promptQuery({ desiredVersion: 2 })), new PromptResidencyTracker(), 0, 0)).version).toBe(1)
    })

    it('are not used if the request would start on them too late', () => {
      expect(chooseEndpoint([old()], query(promptQuery({ desiredVersion: 2, remainingMsOn: () => 0 })), new PromptResidencyTracker(), 0, 0)).toBe('none-of-version')
      expect(chosen(chooseEndpoint([old(), fresh()], query(promptQuery({ desiredVersion: 2, remainingMsOn: () => 0 })), new PromptResidencyTracker(), 0, 0)).version).toBe(2)
    })

    // Guards against a stream that resumes on another engine long after its weights may no longer be used.
    it('have the same time limit for a resumed stream, which continues on no other version', () => {
      const resume = (leftMs: number): ReturnType<typeof chooseEndpoint> =>
        chooseEndpoint([old(), fresh()], query(promptQuery({ desiredVersion: 2, requiredVersion: 1, remainingMsOn: () => leftMs })), new PromptResidencyTracker(), 0, 0)
      expect(resume(0)).toBe('none-of-version')
      expect(chosen(resume(60_000)).version).toBe(1)
    })

    it('never change during a request', () => {
      expect(chooseEndpoint([fresh()], query(promptQuery({ requiredVersion: 1 })), new PromptResidencyTracker(), 0, 0)).toBe('none-of-version')
    })
  })

  describe('endpoints that get no new work', () => {
    it('include those that are leaving, whatever an older list says', () => {
      const leaving = new EndpointState(listed('a', { isLeaving: true }))
      leaving.update(listed('a'))
      expect(chooseEndpoint([leaving], query(), new PromptResidencyTracker(), 0, 0)).toBe('none-listed')
    })

    it('include those that load weights, while others can take it', () => {
      const fleet = [new EndpointState(listed('a', { isBusy: true })), new EndpointState(listed('b'))]
      expect(chosen(chooseEndpoint(fleet, query(promptQuery()), new PromptResidencyTracker(), 0, 0)).endpoint.id).toBe('b')
      expect(chosen(chooseEndpoint(fleet.slice(0, 1), query(promptQuery()), new PromptResidencyTracker(), 0, 0)).endpoint.id).toBe('a')
    })

    it('include those that have work and have been silent for long, while others can take it', () => {
      const fleet = engines(2)
      const home = homeEndpoint('trip', fleet.map(engine => engine.id))
      const silent = fleet.find(engine => engine.id === home)
      silent?.beginRequest(0, 0, 0)
      expect(chosen(chooseEndpoint(fleet, query(promptQuery()), new PromptResidencyTracker(), 100, 0)).endpoint.id).toBe(home)
      expect(chosen(chooseEndpoint(fleet, query(promptQuery()), new PromptResidencyTracker(), 1500, 0)).endpoint.id).not.toBe(home)
      silent?.observeBytes(1500)
      expect(chosen(chooseEndpoint(fleet, query(promptQuery()), new PromptResidencyTracker(), 1600, 0)).endpoint.id).toBe(home)
    })

    it('include those that were unreachable a moment ago, unless all were', () => {
      const [first, second] = engines(2)
      first?.health.observe('unreachable', 0)
      const both = [first, second].filter(engine => engine !== undefined)
      expect(chosen(chooseEndpoint(both, query(), new PromptResidencyTracker(), 10, 0)).endpoint.id).toBe('e1')
      second?.health.observe('unreachable', 0)
      expect(typeof chooseEndpoint(both, query(), new PromptResidencyTracker(), 10, 0)).toBe('object')
    })
  })

  describe('observations of other hosts', () => {
    function othersWith (figures: Partial<LoadFigures>, endpoint = 'e0'): PeerLoad {
      const others = new PeerLoad()
      others.recordOwnReport(1, { work: [], links: [] }, 0)
      others.recordTotals({ sequence: 1, work: [{ ...NO_ENDPOINT_LOAD, endpoint, ...figures }], links: [] }, 0)
      return others
    }

    const chooses = (figures: Partial<LoadFigures>, fleet = engines(2)): string =>
      chosen(chooseEndpoint(fleet, query(undefined, { others: othersWith(figures) }), new PromptResidencyTracker(), 0, 0)).endpoint.id

    it('keep a host from an endpoint that is silent to all, though it never sent there itself', () => {
      expect(chooses({ inFlight: 0 })).toBe('e0')
      expect(chooses({ inFlight: 3, lastByteAgoMs: 501, waitedMs: 900 }, engines(1))).toBe('e0')
      const silent = { inFlight: 3, lastByteAgoMs: 501, waitedMs: 900 }
      const busy = [new EndpointState(listed('e0')), new EndpointState(listed('e1'))]
      for (let request = 0; request < 20; request += 1) busy[1]?.beginRequest(0, 0, 0)
      expect(chooses({ ...silent, lastByteAgoMs: 20 }, busy)).toBe('e0')
      expect(chooses(silent, busy)).toBe('e1')
    })

    it('do not make an endpoint count as silent that has only just got its work', () => {
      const busy = engines(2)
      for (let request = 0; request < 20; request += 1) busy[1]?.beginRequest(0, 0, 0)
      expect(chooses({ inFlight: 9, lastByteAgoMs: 60_000, waitedMs: 300 }, busy)).toBe('e0')
    })

    it('keep a host from an endpoint that two hosts could not reach, unless it has received bytes from it itself', () => {
      expect(chooses({ avoiders: 1 })).toBe('e0')
      expect(chooses({ avoiders: 2 })).toBe('e1')
      const contacted = engines(2)
      contacted[0]?.observeBytes(0)
      expect(chooses({ avoiders: 2 }, contacted)).toBe('e0')
    })

    it('keep a host from an endpoint that fails half of what all hosts send', () => {
      const busy = engines(2)
      for (let request = 0; request < 60; request += 1) busy[1]?.beginRequest(0, 0, 0)
      expect(chooses({ outcomes: 40, failures: 5 }, busy)).toBe('e0')
      expect(chooses({ outcomes: 40, failures: 36 }, busy)).toBe('e1')
    })
  })

  describe('connections', () => {
    it('that are open are preferred to new ones, while the difference is small', () => {
      const fleet = engines(2)
      const hasConnection = (endpoint: EndpointState): boolean => endpoint.id === 'e1'
      expect(chosen(chooseEndpoint(fleet, query(undefined, { hasConnection }), new PromptResidencyTracker(), 0, 0)).endpoint.id).toBe('e1')
      for (let request = 0; request < 8; request += 1) fleet[1]?.beginRequest(0, 0, 0)
      expect(chosen(chooseEndpoint(fleet, query(undefined, { hasConnection }), new PromptResidencyTracker(), 0, 0)).endpoint.id).toBe('e0')
    })
  })

  describe('plain services', () => {
    it('use the endpoint with the fewest requests of all hosts', () => {
      const fleet = engines(3)
      const others = new PeerLoad()
      others.recordOwnReport(1, { work: [], links: [] }, 0)
      others.recordTotals({
        sequence: 1,
        work: [{ ...NO_ENDPOINT_LOAD, endpoint: 'e0', inFlight: 9, pendingTokens: 0, heldTokens: 0 }, { ...NO_ENDPOINT_LOAD, endpoint: 'e2', inFlight: 7, pendingTokens: 0, heldTokens: 0 }],
        links: []
      }, 0)
      expect(chosen(chooseEndpoint(fleet, query(undefined, { others }), new PromptResidencyTracker(), 0, 0)).endpoint.id).toBe('e1')
    })

    it('avoid an endpoint at which many requests fail', () => {
      const fleet = engines(2)
      for (let request = 0; request < 12; request += 1) fleet[0]?.health.observe('failure', 0)
      expect(chosen(chooseEndpoint(fleet, query(), new PromptResidencyTracker(), 100_000, 0)).endpoint.id).toBe('e1')
    })
  })
})

describe('features for hard load', () => {
  const LONG = promptQuery({ description: { model: MODEL, promptTokens: 12_000, outputTokens: 80, parts: [{ id: 'own', tokens: 12_000 }] }, longestPauseMs: 300 })

  /** Returns the estimates for one engine on a slow machine with many streams, that other hosts have reported. */
  function choiceWith (overrides: Partial<EndpointQuery>): EndpointChoice {
    const [engine] = engines(1)
    if (engine === undefined) throw new Error('an engine is needed')
    engine.observeLoad({ running: 1, waiting: 0, slots: 48, paceFactor: 2.5 }, 0)
    const others = new PeerLoad()
    others.recordOwnReport(1, { work: [], links: [] }, 0)
    others.recordTotals({ sequence: 1, work: [], links: [], streams: [{ endpoint: engine.incarnation, streams: 9, shortestPauseMs: 300 }] }, 0)
    return chosen(chooseEndpoint([engine], query(LONG, { others, ...overrides }), new PromptResidencyTracker(), 0, 0))
  }

  function trainedPauses (): StreamPaceModel {
    const model = new StreamPaceModel()
    for (let event = 0; event < 20; event += 1) model.observe({ prefillMs: 0, requests: 1 }, 80)
    return model
  }

  it('change no estimate while they are off', () => {
    const off = choiceWith({})
    expect(off.machinePace).toBeUndefined()
    expect(off.delayedStreams).toBeUndefined()
    expect(off.delaysStreamsEverywhere).toBeUndefined()
    expect(off.workMs).toBeCloseTo(55 + 12_000 * 12.5 / 1000)
    expect(off.costMs).toBe(off.estimatedMs)
  })

  it('multiply the work by the stated pace', () => {
    const { machinePace = 1, workMs } = choiceWith({ usesMachinePace: true })
    expect(machinePace).toBeGreaterThan(1.8)
    expect(workMs).toBeCloseTo(choiceWith({}).workMs * machinePace)
  })

  it('charge for running streams that would pause too long, and not while the load of other hosts is not known', () => {
    const on = choiceWith({ usesMachinePace: true, streamPace: trainedPauses() })
    expect(on.costMs).toBeGreaterThan(on.estimatedMs + 100)
    expect(on.delaysStreamsEverywhere).toBe(true)
    const unknown = choiceWith({ usesMachinePace: true, streamPace: trainedPauses(), others: undefined })
    expect(unknown.costMs).toBe(unknown.estimatedMs)
  })
})
