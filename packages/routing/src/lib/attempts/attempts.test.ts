import { describe, expect, it } from 'vitest'
import { decideRetry, type AttemptSituation } from './decideRetry.js'
import { RetryAllowance } from './RetryAllowance.js'

function situation (overrides: Partial<AttemptSituation>): AttemptSituation {
  return { kind: 'safe', isResumable: false, failure: 'lost', runs: 1, sends: 1, maxRuns: 2, remainingMs: 500, hasPartialAnswer: false, ...overrides }
}

describe('nextStep', () => {
  describe('a request that may run once', () => {
    it.each(['unsafe', 'stream'] as const)('is never repeated after it may have run (%s)', kind => {
      for (const failure of ['lost', 'failed', 'broken-stream'] as const) {
        expect(decideRetry(situation({ kind, failure }))).toEqual({ kind: 'give-up' })
      }
    })

    it.each(['unsafe', 'stream'] as const)('goes on when it certainly did not run (%s)', kind => {
      for (const failure of ['rejected', 'misdirected'] as const) {
        expect(decideRetry(situation({ kind, failure, runs: 0, maxRuns: 1 }))).toEqual({ kind: 'repeat', spendsBudget: true })
      }
    })
  })

  describe('a request that may run again', () => {
    it('is repeated under the budget, up to the operator\'s number of runs', () => {
      expect(decideRetry(situation({}))).toEqual({ kind: 'repeat', spendsBudget: true })
      expect(decideRetry(situation({ runs: 2 }))).toEqual({ kind: 'give-up' })
    })

    it('includes streams that may be resumed', () => {
      expect(decideRetry(situation({ kind: 'stream', isResumable: true, failure: 'broken-stream' })).kind).toBe('repeat')
    })
  })

  it('spends no budget where no byte was sent', () => {
    expect(decideRetry(situation({ kind: 'unsafe', failure: 'not-connected', runs: 0 }))).toEqual({ kind: 'repeat', spendsBudget: false })
  })

  it('gives up when no time is left or the whole service is full', () => {
    expect(decideRetry(situation({ remainingMs: 5 })).kind).toBe('give-up')
    expect(decideRetry(situation({ failure: 'rejected', sends: 4 })).kind).toBe('give-up')
  })

  it('asks more endpoints, but not without end, once the caller has part of the answer', () => {
    const begun = { kind: 'stream', isResumable: true, failure: 'rejected', hasBegun: true } as const
    expect(decideRetry(situation({ ...begun, sends: 9 })).kind).toBe('repeat')
    expect(decideRetry(situation({ ...begun, sends: 10 })).kind).toBe('give-up')
  })
})

describe('RetryAllowance', () => {
  const terms = { ratio: 0.2, slack: 56 }

  function repeatsOf (allowance: RetryAllowance, requests: number, wantedEach: number, hosts: number): number {
    let repeats = 0
    for (let request = 0; request < requests; request += 1) {
      allowance.recordRequest(hosts)
      for (let wanted = 0; wanted < wantedEach; wanted += 1) if (allowance.trySpend()) repeats += 1
    }
    return repeats
  }

  it('keeps the sum over all hosts to the shared budget when every request fails', () => {
    const hosts = 8
    const requests = 300
    let repeats = 0
    for (let host = 0; host < hosts; host += 1) repeats += repeatsOf(new RetryAllowance(terms), requests, 3, hosts)
    expect(repeats).toBeLessThanOrEqual(terms.ratio * requests * hosts + terms.slack)
  })

  it('saves up no more than its part of the slack', () => {
    const allowance = new RetryAllowance(terms)
    for (let request = 0; request < 10_000; request += 1) allowance.recordRequest(8)
    let saved = 0
    while (allowance.trySpend()) saved += 1
    expect(saved).toBeLessThanOrEqual(terms.slack / 8)
  })
})
