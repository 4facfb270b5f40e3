import { describe, expect, it } from 'vitest'
import { RequestedPause } from './RequestedPause.js'

const NEVER = Number.NEGATIVE_INFINITY

describe('RequestedPause', () => {
  it('holds until its end, and a shorter one asked for meanwhile does not end it sooner', () => {
    const pause = new RequestedPause()
    expect(pause.pausedUntil(NEVER, 0)).toBeUndefined()
    expect(pause.extend(3000, 0)).toBe(true)
    expect(pause.extend(100, 1000)).toBe(false)
    expect(pause.pausedUntil(0, 2999)).toBe(3000)
    expect(pause.pausedUntil(0, 3000)).toBeUndefined()
  })

  it('lets one request go ahead afterwards, and the others once it is accepted', () => {
    const pause = new RequestedPause()
    pause.extend(3000, 0)
    expect(pause.pausedUntil(3000, 3010)).toBe(3010)
    pause.recordAccepted(3050)
    expect(pause.pausedUntil(3000, 3060)).toBeUndefined()
  })

  it('does not take an answer that comes inside the pause for its end', () => {
    const pause = new RequestedPause()
    pause.extend(3000, 0)
    pause.recordAccepted(100)
    expect(pause.pausedUntil(0, 200)).toBe(3000)
    expect(pause.pausedUntil(3000, 3010)).toBe(3010)
  })

  it('does not wait for ever for an answer that never comes', () => {
    const pause = new RequestedPause()
    pause.extend(3000, 0)
    expect(pause.pausedUntil(3000, 4000)).toBeUndefined()
  })
})
