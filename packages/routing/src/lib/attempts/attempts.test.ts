import { describe, expect, it } from 'vitest'
import { decideRetry, type AttemptContext } from './decideRetry.js'
import { RetryAllowance } from './RetryAllowance.js'

function failedAttempt (overrides: Partial<AttemptContext>): AttemptContext {
  return { kind: 'safe', isResumable: false, failure: 'lost', runs: 1, sends: 1, maxRuns: 2, remainingMs: 500, hasPartialAnswer: false, ...overrides }
}

describe('decideRetry', () => {
  describe('a request that must not run twice', () => {
    it.each(['unsafe', 'stream'] as const)('is never retried after it may have run (%s)', kind => {
      for (const failure of ['lost', 'failed', 'broken-stream'] as const) {
        expect(decideRetry(failedAttempt({ kind, failure }))).toEqual({ kind: 'give-up' })
      }
    })

    it.each(['unsafe', 'stream'] as const)('is retried if it certainly did not run (%s)', kind => {
      for (const failure of ['rejected', 'misdirected'] as const) {
        expect(decideRetry(failedAttempt({ kind, failure, runs: 0, maxRuns: 1 }))).toEqual({ kind: 'repeat', spendsBudget: true })
      }
    })
  })

  describe('a request that may run again', () => {
    it('is retried within the budget, up to the operator\'s maximum number of runs', () => {
      expect(decideRetry(failedAttempt({}))).toEqual({ kind: 'repeat', spendsBudget: true })
      expect(decideRetry(failedAttempt({ runs: 2 }))).toEqual({ kind: 'give-up' })
    })

    it('includes resumable streams', () => {
      expect(decideRetry(failedAttempt({ kind: 'stream', isResumable: true, failure: 'broken-stream' })).kind).toBe('repeat')
    })
  })

  it('spends no budget if no byte was sent', () => {
    expect(decideRetry(failedAttempt({ kind: 'unsafe', failure: 'not-connected', runs: 0 }))).toEqual({ kind: 'repeat', spendsBudget: false })
  })

  it('gives up when no time is left or the whole service is full', () => {
    expect(decideRetry(failedAttempt({ remainingMs: 5 })).kind).toBe('give-up')
    expect(decideRetry(failedAttempt({ failure: 'rejected', sends: 4 })).kind).toBe('give-up')
  })

  it('tries more endpoints, up to a limit, once the caller has part of the answer', () => {
    const partialAnswer = { kind: 'stream', isResumable: true, failure: 'rejected', hasPartialAnswer: true } as const
    expect(decideRetry(failedAttempt({ ...partialAnswer, sends: 9 })).kind).toBe('repeat')
    expect(decideRetry(failedAttempt({ ...partialAnswer, sends: 10 })).kind).toBe('give-up')
  })
})

describe('RetryAllowance', () => {
  const terms = { ratio: 0.2, slack: 56 }

  function countRetries (allowance: RetryAllowance, requests: number, wantedEach: number, hosts: number): number {
    let retries = 0
    for (let request = 0; request < requests; request += 1) {
      allowance.recordRequest(hosts)
      for (let wanted = 0; wanted < wantedEach; wanted += 1) if (allowance.trySpend()) retries += 1
    }
    return retries
  }

  it('keeps the sum over all hosts within the shared budget when every request fails', () => {
    const hosts = 8
    const requests = 300
    let retries = 0
    for (let host = 0; host < hosts; host += 1) retries += countRetries(new RetryAllowance(terms), requests, 3, hosts)
    expect(retries).toBeLessThanOrEqual(terms.ratio * requests * hosts + terms.slack)
  })

  it('accumulates no more than its part of the slack', () => {
    const allowance = new RetryAllowance(terms)
    for (let request = 0; request < 10_000; request += 1) allowance.recordRequest(8)
    let saved = 0
    while (allowance.trySpend()) saved += 1
    expect(saved).toBeLessThanOrEqual(terms.slack / 8)
  })
})
