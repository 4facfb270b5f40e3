import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import type { EndpointListMessage } from '@eelgrassmux/rpc/methods/controlMethods'
import type { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import { EndpointListFollower } from './EndpointListFollower.js'

/** Time from the start of the watch to the status request, and from there to its response, in milliseconds. */
const PAUSE_MS = 40

/** Time for which a message is held back, in milliseconds. */
const HELD_MS = 250

describe('EndpointListFollower', () => {
  beforeEach(() => { vi.useFakeTimers({ toFake: ['performance'] }) })
  afterEach(() => { vi.useRealTimers() })

  // Guards against a list that lay in a buffer, or before a process that stood still, and counts as just read.
  it('counts the age of a list from the last time at which the control host had no newer one', () => {
    let deliver: (message: EndpointListMessage) => void = () => {}
    const rpc = {
      stream: async (_address: string, _method: unknown, _request: unknown, onResponse: (message: EndpointListMessage) => void, signal: AbortSignal) => {
        deliver = onResponse
        await new Promise(resolve => { signal.addEventListener('abort', resolve) })
      },
      expectMessage: () => {}
    }
    const abort = new AbortController()
    const follower = new EndpointListFollower(rpc as unknown as RpcClient, () => ['c'], () => {})
    void follower.run(abort.signal)
    deliver({ incarnation: 'i', version: 1, endpoints: [], readAgeMs: 0 })
    vi.advanceTimersByTime(PAUSE_MS)
    const askedAt = performance.now()
    vi.advanceTimersByTime(PAUSE_MS)
    follower.confirm('c', { incarnation: 'i', endpointList: 1, listAgeMs: 0, storedParts: 0 }, askedAt)
    expect(follower.ageMs(performance.now())).toBe(PAUSE_MS)
    vi.advanceTimersByTime(HELD_MS)
    deliver({ incarnation: 'i', version: 2, endpoints: [], readAgeMs: 0 })
    expect(follower.ageMs(performance.now())).toBe(PAUSE_MS + HELD_MS)
    // The status response of version 3 overtakes its message, which then is no younger than before.
    follower.confirm('c', { incarnation: 'i', endpointList: 3, listAgeMs: 10, storedParts: 0 }, performance.now())
    deliver({ incarnation: 'i', version: 3, endpoints: [], readAgeMs: 0 })
    expect(follower.ageMs(performance.now())).toBe(PAUSE_MS + HELD_MS)
    follower.confirm('c', { incarnation: 'i', endpointList: 3, listAgeMs: 10, storedParts: 0 }, performance.now())
    expect(follower.ageMs(performance.now())).toBe(10)
    abort.abort()
  })
})
