import { describe, expect, it } from 'vitest'
import { DEFAULT_ENDPOINT_SETTINGS, EndpointTable } from './EndpointTable.js'

const REPORT_LIFETIME_MS = DEFAULT_ENDPOINT_SETTINGS.reportLifetimeMs

function createTable (...names: string[]): EndpointTable {
  const created = new EndpointTable()
  created.retain(new Set(names))
  for (const name of names) created.observeReport(name, { leaving: false, incarnation: 1 }, 0)
  return created
}

describe('EndpointTable', () => {
  describe('leaving', () => {
    it.each([
      ['the list', (endpoints: EndpointTable) => { endpoints.observeMemberList([{ name: 'a', state: 'leaving', incarnation: 1 }]) }],
      ['its own report', (endpoints: EndpointTable) => { endpoints.observeReport('a', { leaving: true, incarnation: 1 }, 1) }],
      ['its response to a request', (endpoints: EndpointTable) => { endpoints.observeLeaving('a') }]
    ])('is accepted from %s', (_source, observe) => {
      const endpoints = createTable('a')
      observe(endpoints)
      expect(endpoints.ineligibility('a', 1)).toBe('leaving')
    })

    it('is not reverted by an outdated list or report of the same incarnation', () => {
      const endpoints = createTable('a')
      endpoints.observeLeaving('a')
      endpoints.observeMemberList([{ name: 'a', state: 'live', incarnation: 1 }])
      endpoints.observeReport('a', { leaving: false, incarnation: 1 }, 5)
      expect(endpoints.ineligibility('a', 6)).toBe('leaving')
    })

    it('ends with a new incarnation', () => {
      const endpoints = createTable('a')
      endpoints.observeLeaving('a')
      endpoints.observeReport('a', { leaving: false, incarnation: 2 }, 5)
      endpoints.observeMemberList([{ name: 'a', state: 'leaving', incarnation: 1 }])
      expect(endpoints.ineligibility('a', 6)).toBeUndefined()
    })
  })

  describe('requested pause', () => {
    it('makes the endpoint ineligible until its end, and is not shortened by a later, shorter request', () => {
      const endpoints = createTable('a')
      endpoints.observePause('a', 1000, 0)
      endpoints.observePause('a', 10, 500)
      expect(endpoints.ineligibility('a', 999)).toBe('asked-to-pause')
      expect(endpoints.ineligibility('a', 1000)).toBeUndefined()
    })

    it('ends with a new incarnation', () => {
      const endpoints = createTable('a')
      endpoints.observePause('a', 1000, 0)
      endpoints.observeReport('a', { leaving: false, incarnation: 2 }, 5)
      expect(endpoints.ineligibility('a', 6)).toBeUndefined()
    })
  })

  describe('silence', () => {
    it('makes an endpoint ineligible although the list still shows it as live', () => {
      const endpoints = createTable('a')
      endpoints.observeMemberList([{ name: 'a', state: 'live', incarnation: 1 }])
      expect(endpoints.ineligibility('a', REPORT_LIFETIME_MS)).toBeUndefined()
      expect(endpoints.ineligibility('a', REPORT_LIFETIME_MS + 1)).toBe('silent')
    })
  })

  describe('ejection', () => {
    const failRepeatedly = (endpoints: EndpointTable, name: string, now: number): boolean =>
      [0, 1, 2].map(() => endpoints.observeFailure(name, now)).some(ejected => ejected)

    it('ejects an endpoint after consecutive failures, for a time that doubles', () => {
      const endpoints = createTable('a', 'b', 'c')
      expect(failRepeatedly(endpoints, 'a', 0)).toBe(true)
      expect(endpoints.ineligibility('a', 999)).toBe('ejected')
      expect(endpoints.ineligibility('a', 1000)).toBeUndefined()
      failRepeatedly(endpoints, 'a', 1000)
      expect(endpoints.ineligibility('a', 1999)).toBe('ejected')
      endpoints.observeReport('a', { leaving: false, incarnation: 1 }, 2999)
      expect(endpoints.ineligibility('a', 2999)).toBe('ejected')
      expect(endpoints.ineligibility('a', 3000)).toBeUndefined()
    })

    it('never ejects more than the maximum fraction of endpoints', () => {
      const endpoints = createTable('a', 'b', 'c')
      expect(failRepeatedly(endpoints, 'a', 0)).toBe(true)
      expect(failRepeatedly(endpoints, 'b', 0)).toBe(false)
      expect(endpoints.eligible(1)).toEqual(['b', 'c'])
    })

    it('resets the failure count after a success', () => {
      const endpoints = createTable('a', 'b', 'c')
      endpoints.observeFailure('a', 0)
      endpoints.observeFailure('a', 0)
      endpoints.observeSuccess('a')
      expect(endpoints.observeFailure('a', 0)).toBe(false)
    })
  })
})
