import { describe, expect, it } from 'vitest'
import type { QuarantineEntryMessage } from '@eelgrassmux/schema/quarantineEntry'
import { CrashEvidence, type LostRequest } from './CrashEvidence.js'
import { crashReportSchema, MAX_REPORTS_PER_HOST } from './crashReport.js'
import { EVIDENCE_LIFETIME_MS, FIRST_QUARANTINE_MS, MAX_QUARANTINE_MS, quarantineDurationMs } from './quarantineDurations.js'
import { QuarantineTable } from './QuarantineTable.js'

const FINGERPRINT = 'a'.repeat(32)
const run = (number: number): LostRequest => ({ fingerprint: number.toString(16).padStart(32, '0'), service: 's', endpoint: `e${number}`, ranMs: 10 })

describe('CrashEvidence', () => {
  it('tells how long ago each loss was, until it counts no more', () => {
    const evidence = new CrashEvidence()
    evidence.record(run(1), 1000)
    expect(evidence.reports(1500)).toEqual([{ ...run(1), agoMs: 500 }])
    expect(evidence.reports(1000 + EVIDENCE_LIFETIME_MS)).toEqual([])
  })

  it('forgets what came through', () => {
    const evidence = new CrashEvidence()
    for (const number of [1, 2, 1]) evidence.record(run(number), number)
    evidence.forget(run(1).fingerprint)
    expect(evidence.reports(10).map(({ endpoint }) => endpoint)).toEqual(['e2'])
  })

  it('holds a bounded number, the newest', () => {
    const evidence = new CrashEvidence()
    for (let number = 0; number < 1000; number += 1) evidence.record(run(number), number)
    expect(evidence.size).toBe(MAX_REPORTS_PER_HOST)
    expect(evidence.reports(1000).at(-1)?.endpoint).toBe('e999')
  })
})

describe('the schema of reports', () => {
  const report = { ...run(1), agoMs: 5 }

  it('takes what hosts tell', () => {
    expect(crashReportSchema.safeParse(report).success).toBe(true)
  })

  it.each([
    ['fingerprint', 'short'], ['fingerprint', FINGERPRINT.toUpperCase()], ['endpoint', ''], ['endpoint', 'e'.repeat(257)], ['service', ''],
    ['agoMs', -1], ['agoMs', Number.NaN], ['ranMs', Number.POSITIVE_INFINITY], ['more', 1]
  ])('refuses a wrong %s (%s) and names it', (field, value) => {
    const parsed = crashReportSchema.safeParse({ ...report, [field]: value })
    expect(parsed.success).toBe(false)
    expect(JSON.stringify(parsed.error?.issues)).toContain(field)
  })
})

describe('quarantineMs', () => {
  it('doubles with each, up to a day', () => {
    expect([0, 1, 2].map(quarantineDurationMs)).toEqual([1, 2, 4].map(factor => factor * FIRST_QUARANTINE_MS))
    expect(quarantineDurationMs(50)).toBe(MAX_QUARANTINE_MS)
  })

  it('outlasts all evidence that led to it', () => {
    expect(FIRST_QUARANTINE_MS).toBeGreaterThan(EVIDENCE_LIFETIME_MS)
  })
})

describe('QuarantineTable', () => {
  const entryOf = (overrides: Partial<QuarantineEntryMessage> = {}): QuarantineEntryMessage => ({ fingerprint: FINGERPRINT, service: 's', state: 'quarantined', quarantines: 1, leftMs: 5000, ...overrides })

  it('ends entries on its own clock', () => {
    const table = new QuarantineTable()
    table.replace([entryOf()], 100)
    expect(table.find(FINGERPRINT)?.endsAt).toBe(5100)
  })

  it('takes changes and removals, and leaves the others as they are', () => {
    const table = new QuarantineTable()
    const other = 'b'.repeat(32)
    table.replace([entryOf(), entryOf({ fingerprint: other, state: 'suspected' })], 0)
    table.applyChanges({ quarantine: [entryOf({ fingerprint: other, state: 'quarantined', leftMs: 9 })], quarantineRemoved: [FINGERPRINT] }, 50)
    expect(table.all).toMatchObject([{ fingerprint: other, state: 'quarantined', endsAt: 59 }])
    table.replace([], 60)
    expect(table.isEmpty).toBe(true)
  })
})
