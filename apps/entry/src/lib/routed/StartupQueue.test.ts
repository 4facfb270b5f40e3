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

  function filled (count: number): { readonly queue: StartupQueue, readonly gone: number[] } {
    const queue = new StartupQueue(0)
    const gone: number[] = []
    for (let number = 1; number <= count; number += 1) queue.hold(exchange().caller, undefined, 100, () => { gone.push(number) })
    return { queue, gone }
  }

  describe('once the site is known', () => {
    it('lets the newest go first, each once, and never all at the same moment', () => {
      const { queue, gone } = filled(30)
      queue.release()
      queue.release()
      expect(gone).toEqual([30, 29, 28])
      vi.advanceTimersByTime(50)
      queue.release()
      expect(gone).toEqual([30, 29, 28, 27, 26, 25])
      vi.advanceTimersByTime(5000)
      expect(gone).toEqual(Array.from({ length: 30 }, (_, index) => 30 - index))
    })

    it('has let all go within half a second', () => {
      const { queue, gone } = filled(1000)
      queue.release()
      vi.advanceTimersByTime(450)
      expect(gone.length).toBe(1000)
      expect(queue.length).toBe(0)
    })

    it('takes and lets go what comes while it does', () => {
      const { queue, gone } = filled(20)
      queue.release()
      queue.hold(exchange().caller, undefined, 120, () => { gone.push(21) })
      vi.advanceTimersByTime(50)
      expect(gone).toEqual([20, 19, 21, 18])
    })
  })

  it('lets all go at once where the host is stopping', () => {
    const { queue, gone } = filled(30)
    queue.release()
    queue.releaseAll()
    expect(gone.length).toBe(30)
    vi.advanceTimersByTime(5000)
    expect(gone.length).toBe(30)
  })

  it('holds nobody longer than half of the time there is', () => {
    const queue = new StartupQueue(0)
    let gone = 0
    queue.hold(exchange().caller, 1000, 100, () => { gone += 1 })
    vi.advanceTimersByTime(499)
    expect(gone).toBe(0)
    vi.advanceTimersByTime(1)
    expect(gone).toBe(1)
  })

  it('forgets a request whose caller has left', () => {
    const queue = new StartupQueue(0)
    const { caller, leave } = exchange()
    queue.hold(caller, undefined, 100, () => { throw new Error('let go') })
    leave()
    queue.release()
    expect(queue.length).toBe(0)
  })

  it('holds nobody at a host that has been up for long, and a bounded number at one that has not', () => {
    const queue = new StartupQueue(0)
    expect(queue.hold(exchange().caller, undefined, 10_000, () => {})).toBe(false)
    for (let request = 0; request < 1000; request += 1) expect(queue.hold(exchange().caller, undefined, 100, () => {})).toBe(true)
    expect(queue.hold(exchange().caller, undefined, 100, () => {})).toBe(false)
  })
})
