import { describe, expect, it } from 'vitest'
import { isOverShare } from './isOverShare.js'

const SHARE = { ownRequests: 100, otherRequests: 60, liveHosts: 7, isLagging: false }

describe('isOverShare', () => {
  it('holds for a host with most requests of all hosts', () => {
    expect(isOverShare(SHARE)).toBe(true)
  })

  it.each([
    ['a host with twice its share', { ownRequests: 30, otherRequests: 75 }],
    ['all hosts in a burst', { otherRequests: 600 }],
    ['a host with few requests', { ownRequests: 20, otherRequests: 0 }],
    ['the only host', { otherRequests: 0, liveHosts: 1 }],
    ['a host that does not know the others', { otherRequests: undefined }]
  ])('does not hold for %s', (_case, share) => {
    expect(isOverShare({ ...SHARE, ...share })).toBe(false)
  })

  it('holds for twice the share if the host does not keep up', () => {
    expect(isOverShare({ ...SHARE, ownRequests: 30, otherRequests: 75, isLagging: true })).toBe(true)
  })
})
