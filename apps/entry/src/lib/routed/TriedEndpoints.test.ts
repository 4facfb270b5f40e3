import { describe, expect, it } from 'vitest'
import { TriedEndpoints } from './TriedEndpoints.js'

describe('TriedEndpoints', () => {
  it('allows two endpoints to be tried at once, and further ones after pauses that grow up to a maximum', () => {
    const tried = new TriedEndpoints()
    const pauses = Array.from({ length: 6 }, () => {
      tried.observeRejection(1000)
      return Math.max(0, tried.retryAt - 1000)
    })
    expect(pauses).toEqual([0, 150, 300, 500, 500, 500])
  })

  it('resets the pause once the response has made progress', () => {
    const tried = new TriedEndpoints()
    for (let rejection = 0; rejection < 4; rejection += 1) tried.observeRejection(1000)
    tried.observeProgress()
    expect(tried.retryAt).toBeLessThan(1000)
    tried.observeRejection(2000)
    expect(tried.retryAt).toBeLessThan(2000)
  })

  it('allows endpoints again that rejected the request or stopped responding, but not those where it failed or runs', () => {
    const tried = new TriedEndpoints()
    for (const id of ['rejected', 'silent', 'failed', 'running']) tried.add(id)
    tried.observeFailure('failed')
    tried.allowAgain('running')
    expect([...tried.ids]).toEqual(['failed', 'running'])
  })
})
