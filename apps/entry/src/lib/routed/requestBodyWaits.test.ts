import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { RequestBodies, type RequestBody } from './RequestBodies.js'

const MEGABYTE = 1_000_000

/** Large bodies may occupy 5 of these megabytes. */
const BOUNDS = { totalBytes: 8 * MEGABYTE, customerBytes: 4 * MEGABYTE }

const DEADLINE_MS = 4000

/** A quarter of the deadline, and the interval at which waits are looked at. */
const LONGEST_WAIT_MS = 1000 + 50

describe('RequestBodies', () => {
  let bodies: RequestBodies
  let outcomes: Map<string, string>

  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'setImmediate', 'performance'] })
    bodies = new RequestBodies(BOUNDS, new Telemetry('test'))
    outcomes = new Map()
  })
  afterEach(() => { vi.useRealTimers() })

  function take (name: string, customer: string, bytes: number): RequestBody {
    const body = bodies.open({ customer, deadlineMs: DEADLINE_MS, refuse: ({ cause }) => { outcomes.set(name, cause) } })
    body.take(bytes, () => { outcomes.set(name, 'granted') })
    return body
  }

  // Guards against a body that waits for ever, though it has room, because larger ones of another customer come before it.
  it('gives a body room or refuses it within its longest wait, while others come before it', async () => {
    const slow = take('slow', 'one', 3.5 * MEGABYTE)
    setInterval(() => { slow.noteProgress() }, 100)
    let others = 0
    take('other', 'two', 2 * MEGABYTE)
    setInterval(() => { take(`other-${others += 1}`, 'two', 2 * MEGABYTE) }, 700)
    await vi.advanceTimersByTimeAsync(50)
    take('small enough', 'one', 0.5 * MEGABYTE)
    await vi.advanceTimersByTimeAsync(LONGEST_WAIT_MS)
    expect(outcomes.get('small enough')).toBe('granted')
    expect(outcomes.get('other')).toBe('full')
  })
})
