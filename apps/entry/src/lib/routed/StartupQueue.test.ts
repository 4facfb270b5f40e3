import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import type { CallerExchange } from './CallerExchange.js'
import { StartupQueue } from './StartupQueue.js'

function exchange (): { readonly caller: CallerExchange, leave (): void } {
  let listener = (): void => {}
  const caller = { onLeave: (onLeave: () => void) => { listener = onLeave } } as unknown as CallerExchange
  return { caller, leave: () => { listener() } }
}

describe('StartupQueue', () => {
  beforeEach(() => { vi.useFakeTimers() })
  afterEach(() => { vi.useRealTimers() })

  it('lets requests go in the order in which they came, each once', () => {
    const queue = new StartupQueue(0)
    const gone: number[] = []
    for (const number of [1, 2, 3]) queue.hold(exchange().caller, 1000, 100, () => { gone.push(number) })
    queue.release()
    queue.release()
    vi.advanceTimersByTime(5000)
    expect(gone).toEqual([1, 2, 3])
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
