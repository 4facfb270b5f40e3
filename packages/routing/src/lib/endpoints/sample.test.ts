import { describe, expect, it } from 'vitest'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import { PromptResidencyTracker } from '../prompts/PromptResidencyTracker.js'
import { StoreLinks } from '../stores/StoreLinks.js'
import { chooseEndpoint } from './chooseEndpoint.js'
import type { PromptQuery } from './endpointQuery.js'
import { EndpointState } from './EndpointState.js'
import { EngineModel } from './EngineModel.js'
import { sample } from './sample.js'

/** Repeatable numbers in [0, 1). */
function numbers (seed: number): () => number {
  let state = seed
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0
    return state / 2 ** 32
  }
}

const numbered = (count: number): number[] => Array.from({ length: count }, (_, number) => number)

describe('sample', () => {
  it('looks at all of a few', () => {
    expect(sample(numbered(13), 0.3, () => false)).toEqual(numbered(13))
  })

  it('draws a few of many, evenly, and never leaves out what is always looked at', () => {
    const random = numbers(5)
    const counts = new Map<number, number>()
    for (let request = 0; request < 5000; request += 1) {
      const looked = sample(numbered(98), random(), candidate => candidate === 42)
      expect(looked.length).toBeLessThanOrEqual(9)
      expect(looked).toContain(42)
      for (const candidate of looked) counts.set(candidate, (counts.get(candidate) ?? 0) + 1)
    }
    counts.delete(42)
    expect(counts.size).toBe(97)
    expect(Math.max(...counts.values()) / Math.min(...counts.values())).toBeLessThan(1.5)
  })
})

describe('73 hosts with the same view of 98 engines', () => {
  const listed = (number: number): ListedEndpoint => ({
    id: `e${number}`, service: 'pool', address: `10.0.0.${number}:1`, dataCentre: 'north', slots: 16, isLeaving: false, isBusy: false, models: [{ model: 'm', version: 1 }]
  })

  function prompt (request: number): PromptQuery {
    return {
      description: { model: 'm', promptTokens: 12_000, outputTokens: 60, parts: [{ id: `session-${request}`, tokens: 9000 }, { id: `own-${request}`, tokens: 3000 }] },
      desiredVersion: 1,
      objectiveRemainingMs: 600,
      remainingMsOn: () => Number.POSITIVE_INFINITY,
      requiredVersion: undefined,
      engine: new EngineModel(),
      memoryTokens: 102_801,
      scope: version => `v${version}`,
      stored: () => ({ fetches: [], saves: [], storedTokens: 9000 }),
      links: new StoreLinks(() => 73),
      bytesPerToken: 35_136
    }
  }

  it('do not send what arrives in a tenth of a second to the one that is least busy', () => {
    const random = numbers(11)
    const sent = new Map<string, number>()
    for (let request = 0; request < 85; request += 1) {
      const engines = numbered(98).map(number => new EndpointState(listed(number)))
      engines.forEach((engine, number) => { engine.beginRequest(number === 7 ? 0 : 4000 + number, 40_000, 0) })
      const choice = chooseEndpoint(engines, { excluded: new Set(), dataCentre: 'north', others: undefined, prompt: prompt(request) }, new PromptResidencyTracker(), 0, random())
      if (typeof choice === 'string') throw new Error(choice)
      sent.set(choice.endpoint.id, (sent.get(choice.endpoint.id) ?? 0) + 1)
    }
    expect(Math.max(...sent.values())).toBeLessThan(12)
    expect(sent.size).toBeGreaterThan(40)
  })
})
