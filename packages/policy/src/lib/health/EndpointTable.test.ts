import { describe, expect, it } from 'vitest'
import { DEFAULT_ENDPOINT_SETTINGS, EndpointTable } from './EndpointTable.js'

const LIFETIME = DEFAULT_ENDPOINT_SETTINGS.reportLifetimeMs

function table (...names: string[]): EndpointTable {
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
      ['its answer to a request', (endpoints: EndpointTable) => { endpoints.observeLeaving('a') }]
    ])('is believed from %s', (_source, observe) => {
      const endpoints = table('a')
      observe(endpoints)
      expect(endpoints.ineligibility('a', 1)).toBe('leaving')
    })

    it('is not taken back by a list or report of the same incarnation that lags', () => {
      const endpoints = table('a')
      endpoints.observeLeaving('a')
      endpoints.observeMemberList([{ name: 'a', state: 'live', incarnation: 1 }])
      endpoints.observeReport('a', { leaving: false, incarnation: 1 }, 5)
      expect(endpoints.ineligibility('a', 6)).toBe('leaving')
    })

    it('ends with a new incarnation', () => {
      const endpoints = table('a')
      endpoints.observeLeaving('a')
      endpoints.observeReport('a', { leaving: false, incarnation: 2 }, 5)
      endpoints.observeMemberList([{ name: 'a', state: 'leaving', incarnation: 1 }])
      expect(endpoints.ineligibility('a', 6)).toBeUndefined()
    })
  })

  describe('a pause that an endpoint asks for', () => {
    it('keeps work away until its end, and a shorter one asked for meanwhile does not end it sooner', () => {
      const endpoints = table('a')
      endpoints.observePause('a', 1000, 0)
      endpoints.observePause('a', 10, 500)
      expect(endpoints.ineligibility('a', 999)).toBe('asked-to-pause')
      expect(endpoints.ineligibility('a', 1000)).toBeUndefined()
    })

    it('ends with a new incarnation', () => {
      const endpoints = table('a')
      endpoints.observePause('a', 1000, 0)
      endpoints.observeReport('a', { leaving: false, incarnation: 2 }, 5)
      expect(endpoints.ineligibility('a', 6)).toBeUndefined()
    })
  })

  describe('silence', () => {
    it('counts against an endpoint although the list goes on to show it live', () => {
      const endpoints = table('a')
      endpoints.observeMemberList([{ name: 'a', state: 'live', incarnation: 1 }])
      expect(endpoints.ineligibility('a', LIFETIME)).toBeUndefined()
      expect(endpoints.ineligibility('a', LIFETIME + 1)).toBe('silent')
    })
  })

  describe('ejection', () => {
    const fail = (endpoints: EndpointTable, name: string, now: number): boolean =>
      [0, 1, 2].map(() => endpoints.observeFailure(name, now)).some(ejected => ejected)

    it('takes an endpoint out after failures in a row, for a time that doubles', () => {
      const endpoints = table('a', 'b', 'c')
      expect(fail(endpoints, 'a', 0)).toBe(true)
      expect(endpoints.ineligibility('a', 999)).toBe('ejected')
      expect(endpoints.ineligibility('a', 1000)).toBeUndefined()
      fail(endpoints, 'a', 1000)
      expect(endpoints.ineligibility('a', 1999)).toBe('ejected')
      endpoints.observeReport('a', { leaving: false, incarnation: 1 }, 2999)
      expect(endpoints.ineligibility('a', 2999)).toBe('ejected')
      expect(endpoints.ineligibility('a', 3000)).toBeUndefined()
    })

    it('never takes out more than its share', () => {
      const endpoints = table('a', 'b', 'c')
      expect(fail(endpoints, 'a', 0)).toBe(true)
      expect(fail(endpoints, 'b', 0)).toBe(false)
      expect(endpoints.eligible(1)).toEqual(['b', 'c'])
    })

    it('starts again after a success', () => {
      const endpoints = table('a', 'b', 'c')
      endpoints.observeFailure('a', 0)
      endpoints.observeFailure('a', 0)
      endpoints.observeSuccess('a')
      expect(endpoints.observeFailure('a', 0)).toBe(false)
    })
  })
})
