import { describe, expect, it } from 'vitest'
import type { QuarantineState } from '@eelgrassmux/schema/quarantineEntry'
import { CrashCorrelator, type AgreedQuarantine, type KnownEntry } from './CrashCorrelator.js'
import { EVIDENCE_LIFETIME_MS, FIRST_QUARANTINE_MS } from './quarantineDurations.js'

const POISON = 'd'.repeat(32)
const SETTLED_MS = 400

/** Fingerprint of the bystander of that number. */
const bystander = (number: number): string => number.toString(16).padStart(32, '0')

/** Time for which a request is suspected before it may be quarantined. */
const HEARD_MS = 700

/** Ends of endpoints as hosts report them, and what is agreed. */
class Reports {
  readonly correlator = new CrashCorrelator()
  readonly #entries = new Map<string, KnownEntry>()
  readonly agreed: AgreedQuarantine

  constructor () {
    const entries = this.#entries
    this.agreed = { get all () { return [...entries.values()] }, find: fingerprint => entries.get(fingerprint) }
  }

  agree (fingerprint: string, state: QuarantineState, quarantines = 0): void {
    this.#entries.set(fingerprint, { fingerprint, state, quarantines })
  }

  disagree (fingerprint: string): void {
    this.#entries.delete(fingerprint)
  }

  /** One endpoint ends at a time with these requests; the longer they ran, the later in the list. */
  end (endpoint: string, at: number, requests: readonly string[], ranMs = 100): void {
    for (const [index, fingerprint] of requests.entries()) this.correlator.observe({ fingerprint, service: 's', endpoint, agoMs: 0, ranMs: ranMs * (index + 1) }, at)
  }

  settleAll (now: number): void {
    for (const endpoint of this.correlator.unconfirmedCrashes(this.agreed)) this.correlator.recordCrashCheck(endpoint, true, now)
  }

  /** All uncertain endpoints turn out to have ended, and what follows is agreed at once. */
  decide (now: number): Array<[string, string]> {
    this.settleAll(now)
    return this.correlator.decide(this.agreed, now).map(({ fingerprint, decision }) => {
      this.agree(fingerprint, decision === 'quarantine' ? 'quarantined' : 'suspected')
      return [fingerprint, decision]
    })
  }
}

describe('CrashCorrelator', () => {
  describe('a request that was at each endpoint that ended', () => {
    it('is suspected after two ends and quarantined after three, and nobody else is', () => {
      const reports = new Reports()
      const entries = [1, 2, 3].map(end => {
        const at = end * 1000
        reports.end(`e${end}`, at, [POISON, bystander(end * 10), bystander(end * 10 + 1)])
        return reports.decide(at + SETTLED_MS)
      })
      expect(entries).toEqual([[], [[POISON, 'suspect']], [[POISON, 'quarantine']]])
    })

    it('waits until all hosts have had time to report who else was there', () => {
      const reports = new Reports()
      for (const end of [1, 2]) reports.end(`e${end}`, end * 1000, [POISON])
      reports.decide(2500)
      reports.end('e3', 3300, [POISON])
      expect(reports.decide(3350)).toEqual([])
      expect(reports.decide(3300 + SETTLED_MS)).toEqual([[POISON, 'quarantine']])
    })

    it('is found in whatever order and however often its ends are reported', () => {
      const reports = new Reports()
      for (let again = 0; again < 3; again += 1) {
        for (const end of [3, 1, 2]) reports.correlator.observe({ fingerprint: POISON, service: 's', endpoint: `e${end}`, agoMs: 5000 - end * 1000, ranMs: 100 }, 5000)
      }
      expect(reports.decide(5000)).toEqual([[POISON, 'suspect']])
      expect(reports.decide(5000 + HEARD_MS)).toEqual([[POISON, 'quarantine']])
    })

    it('is quarantined by a leader that finds it suspected', () => {
      const reports = new Reports()
      for (const end of [1, 2, 3]) reports.end(`e${end}`, end * 1000, [POISON])
      reports.agree(POISON, 'suspected')
      expect(reports.decide(4000)).toEqual([])
      expect(reports.decide(4000 + HEARD_MS)).toEqual([[POISON, 'quarantine']])
    })

    it('is not found by ends that lie too far back', () => {
      const reports = new Reports()
      reports.end('e1', 0, [POISON])
      for (const end of [2, 3]) reports.end(`e${end}`, EVIDENCE_LIFETIME_MS + end * 1000, [POISON])
      expect(reports.decide(EVIDENCE_LIFETIME_MS + 4000)).toEqual([[POISON, 'suspect']])
    })
  })

  describe('a request that merely ran beside it', () => {
    it('is not correlated with ends that the other one explains, although it was lost as often', () => {
      const reports = new Reports()
      const repeated = bystander(7)
      for (const end of [1, 2, 3]) reports.end(`e${end}`, end * 1000, [POISON, repeated])
      expect(reports.decide(4000)).toEqual([[POISON, 'suspect'], [repeated, 'suspect']])
      expect(reports.decide(5000)).toEqual([[POISON, 'quarantine']])
      expect(reports.decide(6000)).toEqual([])
    })

    it('is not correlated with later ends of a request that is quarantined already', () => {
      const reports = new Reports()
      reports.agree(POISON, 'quarantined', 1)
      for (const end of [1, 2, 3, 4]) reports.end(`e${end}`, end * 1000, [POISON, bystander(7)])
      expect(reports.decide(5000)).toEqual([])
    })

    it('is not quarantined for a moment if it is asked often, however fast endpoints end', () => {
      const reports = new Reports()
      const popular = bystander(7)
      for (const end of [1, 2, 3, 4]) reports.end(`e${end}`, 1000 + end * 250, [popular])
      expect(reports.decide(2400)).toEqual([[popular, 'suspect']])
      expect(reports.decide(2500)).toEqual([])
      // It comes through at a host that has heard of the suspicion by then.
      reports.correlator.recordCompletion(popular, 2600)
      reports.disagree(popular)
      expect(reports.decide(5000)).toEqual([])
    })

    it('is not correlated with anything once it came through', () => {
      const reports = new Reports()
      const popular = bystander(7)
      reports.end('e1', 1000, [popular])
      reports.end('e2', 2000, [popular])
      expect(reports.decide(2000 + SETTLED_MS)).toEqual([[popular, 'suspect']])
      reports.correlator.recordCompletion(popular, 2500)
      for (const end of [3, 4, 5, 6]) reports.end(`e${end}`, end * 1000, [popular])
      expect(reports.decide(7000)).toEqual([])
    })
  })

  describe('endpoints that end for another reason', () => {
    it('count once if they end in the same moment', () => {
      const reports = new Reports()
      const popular = bystander(7)
      for (let endpoint = 0; endpoint < 14; endpoint += 1) reports.end(`e${endpoint}`, 1000 + endpoint * 10, [popular])
      expect(reports.decide(2000)).toEqual([])
    })

    it('do not count at all if only connections to them broke', () => {
      const reports = new Reports()
      for (const end of [1, 2, 3]) reports.end(`e${end}`, end * 1000, [POISON])
      for (const endpoint of reports.correlator.unconfirmedCrashes(reports.agreed)) reports.correlator.recordCrashCheck(endpoint, false, 3100)
      expect(reports.decide(4000)).toEqual([])
      // Told again by a host that still holds it.
      reports.correlator.observe({ fingerprint: POISON, service: 's', endpoint: 'e1', agoMs: 3500, ranMs: 100 }, 4500)
      expect(reports.correlator.crashCount).toBe(0)
    })

    it('are asked only where it matters', () => {
      const reports = new Reports()
      for (const end of [1, 2, 3]) reports.end(`e${end}`, end * 1000, [bystander(end), bystander(end + 10)])
      expect(reports.correlator.unconfirmedCrashes(reports.agreed)).toEqual([])
      reports.end('e4', 4000, [bystander(1)])
      expect(reports.correlator.unconfirmedCrashes(reports.agreed)).toEqual(['e1', 'e4'])
    })
  })

  describe('a request that was released', () => {
    it('is quarantined again after one end, for twice as long', () => {
      const reports = new Reports()
      reports.agree(POISON, 'released', 1)
      reports.end('e1', 1000, [POISON, bystander(1)])
      reports.settleAll(1000)
      expect(reports.correlator.decide(reports.agreed, 1000 + SETTLED_MS)).toMatchObject([{ fingerprint: POISON, decision: 'quarantine', forMs: 2 * FIRST_QUARANTINE_MS }])
    })
  })

  describe('bounds', () => {
    it('keep the newest ends, and every request of an end up to what two full endpoints hold', () => {
      const reports = new Reports()
      for (let end = 0; end < 2000; end += 1) reports.end(`e${end}`, end, [bystander(end)])
      expect(reports.correlator.crashCount).toBe(512)
      const many = Array.from({ length: 1000 }, (_, number) => bystander(number))
      reports.end('full', 3000, many)
      reports.end('again', 4000, many)
      expect(reports.decide(4000 + SETTLED_MS)).toHaveLength(256)
    })

    it('let the gravest be suspected first, and no more than there is room for', () => {
      const reports = new Reports()
      const many = Array.from({ length: 250 }, (_, number) => bystander(number))
      for (const end of [1, 2]) reports.end(`a${end}`, end * 1000, many)
      for (const end of [3, 4]) reports.end(`b${end}`, end * 1000, [...many.map((_, number) => bystander(1000 + number)), POISON])
      reports.end('c', 5000, [POISON])
      const first = reports.decide(6000)
      expect(first).toHaveLength(256)
      expect(first[0]).toEqual([POISON, 'suspect'])
      expect(reports.decide(6100)).toEqual([])
    })

    it('hold over all ends together, so that the oldest end goes before its time', () => {
      const reports = new Reports()
      for (let end = 0; end < 200; end += 1) reports.end(`e${end}`, end * 1000, Array.from({ length: 256 }, (_, number) => bystander(end * 256 + number)))
      expect(reports.correlator.crashCount).toBe(128)
    })
  })

  it('finds two requests that crash endpoints at the same time', () => {
    const reports = new Reports()
    const second = 'e'.repeat(32)
    for (const end of [1, 2, 3]) {
      reports.end(`a${end}`, end * 1000, [POISON, bystander(end)])
      reports.end(`b${end}`, end * 1000 + 500, [second, bystander(end)])
    }
    reports.decide(5000)
    expect(reports.decide(6000).sort()).toEqual([[POISON, 'quarantine'], [second, 'quarantine']])
  })
})
