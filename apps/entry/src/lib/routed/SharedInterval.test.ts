import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { SharedInterval } from './SharedInterval.js'

const INTERVAL_MS = 200

describe('SharedInterval', () => {
  beforeEach(() => { vi.useFakeTimers() })
  afterEach(() => { vi.useRealTimers() })

  it('calls all callbacks by one timer', () => {
    const looks = new SharedInterval(INTERVAL_MS)
    const called = [0, 0, 0]
    called.forEach((_, index) => {
      looks.join(() => { called[index] = (called[index] ?? 0) + 1 })
      vi.advanceTimersByTime(10)
    })
    expect(vi.getTimerCount()).toBe(1)
    vi.advanceTimersByTime(INTERVAL_MS * 3)
    expect(called).toEqual([3, 3, 3])
  })

  it('has no timer while there are no callbacks, and starts again with the next one', () => {
    const looks = new SharedInterval(INTERVAL_MS)
    let called = 0
    const look = (): void => { called += 1 }
    looks.join(look)
    looks.leave(look)
    expect(vi.getTimerCount()).toBe(0)
    looks.join(look)
    vi.advanceTimersByTime(INTERVAL_MS)
    expect(called).toBe(1)
  })

  it('continues if a callback is removed during a call, and does not call it again', () => {
    const looks = new SharedInterval(INTERVAL_MS)
    const called: string[] = []
    const first = (): void => {
      called.push('first')
      looks.leave(first)
    }
    looks.join(first)
    looks.join(() => { called.push('second') })
    vi.advanceTimersByTime(INTERVAL_MS * 2)
    expect(called).toEqual(['first', 'second', 'second'])
  })
})
