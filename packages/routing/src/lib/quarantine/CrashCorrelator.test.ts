import { describe, expect, it } from 'vitest'
import type { QuarantineState } from '@eelgrassmux/schema/quarantineEntry'
import { CrashCorrelator, type CommittedQuarantine, type KnownEntry } from './CrashCorrelator.js'
import { EVIDENCE_LIFETIME_MS, FIRST_QUARANTINE_MS } from './quarantineDurations.js'

const POISON = 'd'.repeat(32)
const SETTLING_MS = 400

/** Returns the fingerprint of a numbered harmless request. */
const bystander = (number: number): string => number.toString(16).padStart(32, '0')

/** Time for which a request is suspected before it may be quarantined. */
const OBSERVATION_PERIOD_MS = 700

/** Crash reports of all hosts, and the committed quarantine entries. */
class Reports {
  readonly correlator = new CrashCorrelator()
  readonly #entries = new Map<string, KnownEntry>()
  readonly committed: CommittedQuarantine

  constructor () {
    const entries = this.#entries
    this.committed = { get all () { return [...entries.values()] }, find: fingerprint => entries.get(fingerprint) }
  }

  commit (fingerprint: string, state: QuarantineState, quarantines = 0): void {
    this.#entries.set(fingerprint, { fingerprint, state, quarantines })
  }

  withdraw (fingerprint: string): void {
    this.#entries.delete(fingerprint)
  }

  /** Reports the crash of one endpoint with these requests, in ascending order of their run time. */
  reportCrash (endpoint: string, at: number, requests: readonly string[], ranMs = 100): void {
    for (const [index, fingerprint] of requests.entries()) this.correlator.observe({ fingerprint, service: 's', endpoint, agoMs: 0, ranMs: ranMs * (index + 1) }, at)
  }

  settleAll (now: number): void {
    for (const endpoint of this.correlator.unconfirmedCrashes(this.committed)) this.correlator.recordCrashCheck(endpoint, true, now)
  }

  /** Confirms all unconfirmed crashes, and commits the resulting decisions at once. */
  decide (now: number): Array<[string, string]> {
    this.settleAll(now)
    return this.correlator.decide(this.committed, now).map(({ fingerprint, decision }) => {
      this.commit(fingerprint, decision === 'quarantine' ? 'quarantined' : 'suspected')
      return [fingerprint, decision]
    })
  }
}

describe('CrashCorrelator', () => {
  describe('a request that was at every crashed endpoint', () => {
    it('is suspected after two crashes and quarantined after three, and no other request is', () => {
      const reports = new Reports()
      const entries = [1, 2, 3].map(crash => {
        const at = crash * 1000
        reports.reportCrash(`e${crash}`, at, [POISON, bystander(crash * 10), bystander(crash * 10 + 1)])
        return reports.decide(at + SETTLING_MS)
      })
      expect(entries).toEqual([[], [[POISON, 'suspect']], [[POISON, 'quarantine']]])
    })

    it('is not judged until all hosts have had time to report which other requests were there', () => {
      const reports = new Reports()
      for (const crash of [1, 2]) reports.reportCrash(`e${crash}`, crash * 1000, [POISON])
      reports.decide(2500)
      reports.reportCrash('e3', 3300, [POISON])
      expect(reports.decide(3350)).toEqual([])
      expect(reports.decide(3300 + SETTLING_MS)).toEqual([[POISON, 'quarantine']])
    })

    it('is found for any order and any number of repeated reports', () => {
      const reports = new Reports()
      for (let again = 0; again < 3; again += 1) {
        for (const crash of [3, 1, 2]) reports.correlator.observe({ fingerprint: POISON, service: 's', endpoint: `e${crash}`, agoMs: 5000 - crash * 1000, ranMs: 100 }, 5000)
      }
      expect(reports.decide(5000)).toEqual([[POISON, 'suspect']])
      expect(reports.decide(5000 + OBSERVATION_PERIOD_MS)).toEqual([[POISON, 'quarantine']])
    })

    it('is quarantined by a new leader that finds it suspected', () => {
      const reports = new Reports()
      for (const crash of [1, 2, 3]) reports.reportCrash(`e${crash}`, crash * 1000, [POISON])
      reports.commit(POISON, 'suspected')
      expect(reports.decide(4000)).toEqual([])
      expect(reports.decide(4000 + OBSERVATION_PERIOD_MS)).toEqual([[POISON, 'quarantine']])
    })

    it('is not found by crashes that have expired', () => {
      const reports = new Reports()
      reports.reportCrash('e1', 0, [POISON])
      for (const crash of [2, 3]) reports.reportCrash(`e${crash}`, EVIDENCE_LIFETIME_MS + crash * 1000, [POISON])
      expect(reports.decide(EVIDENCE_LIFETIME_MS + 4000)).toEqual([[POISON, 'suspect']])
    })
  })

  describe('a request that only ran beside it', () => {
    it('is not correlated with crashes that the other request explains, although it was lost as often', () => {
      const reports = new Reports()
      const repeated = bystander(7)
      for (const crash of [1, 2, 3]) reports.reportCrash(`e${crash}`, crash * 1000, [POISON, repeated])
      expect(reports.decide(4000)).toEqual([[POISON, 'suspect'], [repeated, 'suspect']])
      expect(reports.decide(5000)).toEqual([[POISON, 'quarantine']])
      expect(reports.decide(6000)).toEqual([])
    })

    it('is not correlated with later crashes caused by a request that is already quarantined', () => {
      const reports = new Reports()
      reports.commit(POISON, 'quarantined', 1)
      for (const crash of [1, 2, 3, 4]) reports.reportCrash(`e${crash}`, crash * 1000, [POISON, bystander(7)])
      expect(reports.decide(5000)).toEqual([])
    })

    it('is never quarantined if it is frequent, however fast endpoints crash', () => {
      const reports = new Reports()
      const popular = bystander(7)
      for (const crash of [1, 2, 3, 4]) reports.reportCrash(`e${crash}`, 1000 + crash * 250, [popular])
      expect(reports.decide(2400)).toEqual([[popular, 'suspect']])
      expect(reports.decide(2500)).toEqual([])
      // The request completes at a host that has learned of the suspicion by then.
      reports.correlator.recordCompletion(popular, 2600)
      reports.withdraw(popular)
      expect(reports.decide(5000)).toEqual([])
    })

    it('is not correlated with any crash once it has completed', () => {
      const reports = new Reports()
      const popular = bystander(7)
      reports.reportCrash('e1', 1000, [popular])
      reports.reportCrash('e2', 2000, [popular])
      expect(reports.decide(2000 + SETTLING_MS)).toEqual([[popular, 'suspect']])
      reports.correlator.recordCompletion(popular, 2500)
      for (const crash of [3, 4, 5, 6]) reports.reportCrash(`e${crash}`, crash * 1000, [popular])
      expect(reports.decide(7000)).toEqual([])
    })
  })

  describe('endpoints that fail for another reason', () => {
    it('count once if they crash at the same time', () => {
      const reports = new Reports()
      const popular = bystander(7)
      for (let endpoint = 0; endpoint < 14; endpoint += 1) reports.reportCrash(`e${endpoint}`, 1000 + endpoint * 10, [popular])
      expect(reports.decide(2000)).toEqual([])
    })

    it('do not count if only connections to them broke', () => {
      const reports = new Reports()
      for (const crash of [1, 2, 3]) reports.reportCrash(`e${crash}`, crash * 1000, [POISON])
      for (const endpoint of reports.correlator.unconfirmedCrashes(reports.committed)) reports.correlator.recordCrashCheck(endpoint, false, 3100)
      expect(reports.decide(4000)).toEqual([])
      // A host that still keeps the loss reports it again.
      reports.correlator.observe({ fingerprint: POISON, service: 's', endpoint: 'e1', agoMs: 3500, ranMs: 100 }, 4500)
      expect(reports.correlator.crashCount).toBe(0)
    })

    it('are checked only if a decision depends on it', () => {
      const reports = new Reports()
      for (const crash of [1, 2, 3]) reports.reportCrash(`e${crash}`, crash * 1000, [bystander(crash), bystander(crash + 10)])
      expect(reports.correlator.unconfirmedCrashes(reports.committed)).toEqual([])
      reports.reportCrash('e4', 4000, [bystander(1)])
      expect(reports.correlator.unconfirmedCrashes(reports.committed)).toEqual(['e1', 'e4'])
    })
  })

  describe('a request that was released', () => {
    it('is quarantined again after one crash, for twice as long', () => {
      const reports = new Reports()
      reports.commit(POISON, 'released', 1)
      reports.reportCrash('e1', 1000, [POISON, bystander(1)])
      reports.settleAll(1000)
      expect(reports.correlator.decide(reports.committed, 1000 + SETTLING_MS)).toMatchObject([{ fingerprint: POISON, decision: 'quarantine', forMs: 2 * FIRST_QUARANTINE_MS }])
    })
  })

  describe('bounds', () => {
    it('keep the newest crashes, and up to 256 requests of a crash', () => {
      const reports = new Reports()
      for (let crash = 0; crash < 2000; crash += 1) reports.reportCrash(`e${crash}`, crash, [bystander(crash)])
      expect(reports.correlator.crashCount).toBe(512)
      const many = Array.from({ length: 1000 }, (_, number) => bystander(number))
      reports.reportCrash('full', 3000, many)
      reports.reportCrash('again', 4000, many)
      expect(reports.decide(4000 + SETTLING_MS)).toHaveLength(256)
    })

    it('limit the number of suspicions, with the strongest correlations first', () => {
      const reports = new Reports()
      const many = Array.from({ length: 250 }, (_, number) => bystander(number))
      for (const crash of [1, 2]) reports.reportCrash(`a${crash}`, crash * 1000, many)
      for (const crash of [3, 4]) reports.reportCrash(`b${crash}`, crash * 1000, [...many.map((_, number) => bystander(1000 + number)), POISON])
      reports.reportCrash('c', 5000, [POISON])
      const first = reports.decide(6000)
      expect(first).toHaveLength(256)
      expect(first[0]).toEqual([POISON, 'suspect'])
      expect(reports.decide(6100)).toEqual([])
    })

    it('limit the losses of all crashes, so that the oldest crashes are evicted before they expire', () => {
      const reports = new Reports()
      for (let crash = 0; crash < 200; crash += 1) reports.reportCrash(`e${crash}`, crash * 1000, Array.from({ length: 256 }, (_, number) => bystander(crash * 256 + number)))
      expect(reports.correlator.crashCount).toBe(128)
    })
  })

  it('finds two requests that crash endpoints at the same time', () => {
    const reports = new Reports()
    const second = 'e'.repeat(32)
    for (const crash of [1, 2, 3]) {
      reports.reportCrash(`a${crash}`, crash * 1000, [POISON, bystander(crash)])
      reports.reportCrash(`b${crash}`, crash * 1000 + 500, [second, bystander(crash)])
    }
    reports.decide(5000)
    expect(reports.decide(6000).sort()).toEqual([[POISON, 'quarantine'], [second, 'quarantine']])
  })
})
