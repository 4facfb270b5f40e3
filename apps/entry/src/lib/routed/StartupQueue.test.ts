import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import type { CallerExchange } from './CallerExchange.js'
import { StartupQueue } from './StartupQueue.js'

function exchange (): { readonly caller: CallerExchange, leave (): void } {
  let listener = (): void => {}
  const caller = { onCallerLeft: (onCallerLeft: () => void) => { listener = onCallerLeft } } as unknown as CallerExchange
  return { caller, leave: () => { listener() } }
}

describe('StartupQueue', () => {
  beforeEach(() => { vi.useFakeTimers() })
  afterEach(() => { vi.useRealTimers() })

  function queueWith (count: number): { readonly queue: StartupQueue, readonly released: number[] } {
    const queue = new StartupQueue(0)
    const released: number[] = []
    for (let number = 1; number <= count; number += 1) queue.enqueue(exchange().caller, undefined, 100, () => { released.push(number) })
    return { queue, released }
  }

  describe('once the site configuration is known', () => {
    it('releases the newest first, each once, and never all at the same moment', () => {
      const { queue, released } = queueWith(30)
      queue.release()
      queue.release()
      expect(released).toEqual([30, 29, 28])
      vi.advanceTimersByTime(50)
      queue.release()
      expect(released).toEqual([30, 29, 28, 27, 26, 25])
      vi.advanceTimersByTime(5000)
      expect(released).toEqual(Array.from({ length: 30 }, (_, index) => 30 - index))
    })

    it('has released all requests within half a second', () => {
      const { queue, released } = queueWith(1000)
      queue.release()
      vi.advanceTimersByTime(450)
      expect(released.length).toBe(1000)
      expect(queue.length).toBe(0)
    })

    it('accepts and releases requests that arrive during a release', () => {
      const { queue, released } = queueWith(20)
      queue.release()
      queue.enqueue(exchange().caller, undefined, 120, () => { released.push(21) })
      vi.advanceTimersByTime(50)
      expect(released).toEqual([20, 19, 21, 18])
    })
  })

  it('releases all requests at once if the host is stopping', () => {
    const { queue, released } = queueWith(30)
    queue.release()
    queue.releaseAll()
    expect(released.length).toBe(30)
    vi.advanceTimersByTime(5000)
    expect(released.length).toBe(30)
  })

  it('holds no request longer than half of its deadline', () => {
    const queue = new StartupQueue(0)
    let released = 0
    queue.enqueue(exchange().caller, 1000, 100, () => { released += 1 })
    vi.advanceTimersByTime(499)
    expect(released).toBe(0)
    vi.advanceTimersByTime(1)
    expect(released).toBe(1)
  })

  it('removes a request whose caller has disconnected', () => {
    const queue = new StartupQueue(0)
    const { caller, leave } = exchange()
    queue.enqueue(caller, undefined, 100, () => { throw new Error('released after its caller disconnected') })
    leave()
    queue.release()
    expect(queue.length).toBe(0)
  })

  it('holds no requests at a host that started long ago, and a limited number at one that has just started', () => {
    const queue = new StartupQueue(0)
    expect(queue.enqueue(exchange().caller, undefined, 10_000, () => {})).toBe(false)
    for (let request = 0; request < 1000; request += 1) expect(queue.enqueue(exchange().caller, undefined, 100, () => {})).toBe(true)
    expect(queue.enqueue(exchange().caller, undefined, 100, () => {})).toBe(false)
  })
})
