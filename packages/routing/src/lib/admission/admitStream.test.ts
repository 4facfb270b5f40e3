import { describe, expect, it } from 'vitest'
import type { Route } from '@eelgrassmux/schema/site/siteSchema'
import { engineRank } from '../prompts/engineRank.js'
import { admitStream, callerPatienceMs, type StreamAdmission } from './admitStream.js'

const DIGEST: Route = {
  name: 'digest', host: 'h', pathPrefix: '/', kind: 'stream', isResumable: false, attempts: 1, timeoutMs: 10_000, targetLatencyMs: 600, priority: 2, isPublic: false, keepsPrompts: true, longestPauseMs: 300, targets: [{ service: 'p', weight: 1 }]
}

function admit (waitedMs: number, estimatedMs: number, remainingMs: number, memory: { own: number, all: number } = { own: 0.1, all: 0.5 }): StreamAdmission {
  return admitStream(DIGEST, { waitedMs, estimatedMs, remainingMs, ownMemoryShare: memory.own, memoryShare: memory.all, tokensToRead: 2900, tokensAhead: 0 })
}

describe('callerPatienceMs', () => {
  it('is the longest of the three', () => {
    expect(callerPatienceMs(DIGEST)).toBe(2400)
    expect(callerPatienceMs({ ...DIGEST, targetLatencyMs: 300, longestPauseMs: 100 })).toBe(2000)
    expect(callerPatienceMs({ ...DIGEST, longestPauseMs: 400 })).toBe(3200)
  })
})

describe('admitStream', () => {
  it('sends what can be on time, and what may still be', () => {
    expect(admit(0, 300, 9000)).toEqual({ kind: 'send', isExpectedLate: false })
    expect(admit(0, 700, 9000)).toEqual({ kind: 'send', isExpectedLate: false })
  })

  it('sends what is late but awaited behind what can be on time', () => {
    expect(admit(0, 1500, 9000)).toEqual({ kind: 'send', isExpectedLate: true })
    expect(engineRank(1, 0, true)).toBeGreaterThan(engineRank(1, 2, false))
  })

  it('counts the time that the request has waited already', () => {
    expect(admit(500, 400, 9000)).toEqual({ kind: 'send', isExpectedLate: true })
  })

  it('refuses at once what no caller waits for, and says when to come back', () => {
    const admission = admit(0, 4000, 9000)
    expect(admission).toEqual({ kind: 'refuse', cause: 'wait', retryAfterMs: 2800 })
  })

  it('refuses what can\'t begin before its time is over', () => {
    expect(admit(0, 900, 500).kind).toBe('refuse')
  })
})

describe('engines whose memory is full', () => {
  it('get no further large request, which waits until its objective has passed and is then refused', () => {
    expect(admit(0, 100, 9000, { own: 0.1, all: 0.95 }).kind).toBe('wait')
    expect(admit(500, 100, 9000, { own: 0.1, all: 0.95 }).kind).toBe('wait')
    expect(admit(700, 100, 9000, { own: 0.1, all: 0.95 })).toEqual({ kind: 'refuse', cause: 'engine-memory', retryAfterMs: 600 })
  })

  it('get small requests all the same', () => {
    expect(admit(0, 100, 9000, { own: 0.02, all: 1.1 }).kind).toBe('send')
  })

  it('get a request that is larger than the limit when they have nothing else', () => {
    expect(admit(0, 100, 9000, { own: 0.95, all: 0.95 }).kind).toBe('send')
  })

  it('do not matter where memory is not stated', () => {
    expect(admit(0, 100, 9000, { own: 0, all: 0 }).kind).toBe('send')
  })
})

describe('engines that have much to read', () => {
  const context = { waitedMs: 0, remainingMs: 9000, ownMemoryShare: 0.1, memoryShare: 0.5, tokensToRead: 2900, tokensAhead: 30_000 }

  it('get no further long request while that can still be on time', () => {
    expect(admitStream(DIGEST, { ...context, estimatedMs: 300 }).kind).toBe('wait')
    expect(admitStream(DIGEST, { ...context, estimatedMs: 300, tokensAhead: 8000 }).kind).toBe('send')
  })

  it('get it before it would be late', () => {
    expect(admitStream(DIGEST, { ...context, waitedMs: 200, estimatedMs: 300 }).kind).toBe('send')
  })

  it('get short requests at once', () => {
    expect(admitStream(DIGEST, { ...context, estimatedMs: 300, tokensToRead: 600 }).kind).toBe('send')
  })
})

describe('many late requests at once, as after a restart of all hosts', () => {
  const late = { waitedMs: 900, estimatedMs: 300, remainingMs: 9000, ownMemoryShare: 0.1, memoryShare: 0.3, tokensToRead: 9000, tokensAhead: 0 }

  it('are sent while an engine has little else to do', () => {
    expect(admitStream(DIGEST, late)).toEqual({ kind: 'send', isExpectedLate: true })
    expect(admitStream(DIGEST, { ...late, tokensAhead: 40_000, ownMemoryShare: 0.1, memoryShare: 0.1 }).kind).toBe('send')
  })

  it('give way to what can still be on time, while they are long', () => {
    expect(admitStream(DIGEST, { ...late, tokensAhead: 4000 }).kind).toBe('wait')
    expect(admitStream(DIGEST, { ...late, memoryShare: 0.7 }).kind).toBe('wait')
    expect(admitStream(DIGEST, { ...late, tokensAhead: 4000, tokensToRead: 600 }).kind).toBe('send')
  })

  it('are sent in time for a caller that still waits', () => {
    expect(admitStream(DIGEST, { ...late, waitedMs: 1300, tokensAhead: 4000 }).kind).toBe('send')
  })

  it('are refused once their caller will have left before the first event', () => {
    expect(admitStream(DIGEST, { ...late, waitedMs: 2200, estimatedMs: 700 }).kind).toBe('refuse')
  })
})

describe('engineRank', () => {
  it('puts the customer before the route, and stays within what engines know', () => {
    expect(engineRank(0, 2, false)).toBeLessThan(engineRank(1, 0, false))
    expect(engineRank(1, 0, false)).toBeLessThan(engineRank(1, 1, false))
    for (const customer of [undefined, 0, 1, 5]) {
      for (const route of [0, 1, 2, 7]) {
        for (const isLate of [false, true]) {
          const rank = engineRank(customer, route, isLate)
          expect(rank).toBeGreaterThanOrEqual(0)
          expect(rank).toBeLessThanOrEqual(9)
        }
      }
    }
  })
})
