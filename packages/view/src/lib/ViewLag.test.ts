import { describe, expect, it } from 'vitest'
import { ViewLag } from './ViewLag.js'

describe('ViewLag', () => {
  it('counts from the first statement of a newer view until the newest stated one is in force', () => {
    const lag = new ViewLag()
    lag.observeStatement('a', 5, 5, 100)
    expect(lag.report(5, 90, 110)).toMatchObject({ viewsBehind: 0, behindMs: 0, statedBy: '', confirmedMs: 20 })
    lag.observeStatement('b', 7, 5, 200)
    lag.observeStatement('a', 8, 5, 300)
    expect(lag.report(5, 90, 400)).toMatchObject({ newestView: 8, viewsBehind: 3, behindMs: 200, statedBy: 'b' })
    lag.observeView(7)
    expect(lag.report(7, 90, 500)).toMatchObject({ viewsBehind: 1, behindMs: 300 })
    lag.observeView(8)
    expect(lag.report(8, 450, 500)).toMatchObject({ viewsBehind: 0, behindMs: 0, statedBy: '', confirmedMs: 50 })
  })
})
