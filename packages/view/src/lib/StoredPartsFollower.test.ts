import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import type { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import { STORED_PARTS_BATCH_MS, type StoredPartsMessage } from '@eelgrassmux/schema/site/storedParts'
import { STORED_PARTS_LEASE_MS, StoredPartsFollower } from './StoredPartsFollower.js'

/** Time between a status request and its response, in milliseconds. */
const RESPONSE_MS = 20

describe('StoredPartsFollower', () => {
  let deliver: (version: number) => void
  let follower: StoredPartsFollower
  let abort: AbortController
  let heldBackMs: number | undefined

  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['performance'] })
    const rpc = {
      stream: async (_address: string, _method: unknown, _request: unknown, onResponse: (message: StoredPartsMessage) => void, signal: AbortSignal) => {
        deliver = version => { onResponse({ incarnation: 'i', version, changes: [] }) }
        await new Promise(resolve => { signal.addEventListener('abort', resolve) })
      },
      expectMessage: (_address: string, delayMs: number) => { heldBackMs = delayMs }
    }
    abort = new AbortController()
    heldBackMs = undefined
    follower = new StoredPartsFollower(rpc as unknown as RpcClient, () => ['c'], { reset: () => {}, apply: () => {} })
    void follower.run(abort.signal)
  })

  afterEach(() => {
    abort.abort()
    vi.useRealTimers()
  })

  function confirm (storedParts: number, askedAt: number): void {
    follower.confirm('c', { incarnation: 'i', endpointList: 0, listAgeMs: 0, storedParts }, askedAt)
  }

  function isLeaseValid (): boolean { return follower.isLeaseValid(performance.now()) }

  // Guards against stores that are read by contents which the control host has long replaced.
  it('does not renew the lease by a message that was handled long after it was sent', () => {
    deliver(1)
    expect(isLeaseValid()).toBe(true)
    vi.advanceTimersByTime(STORED_PARTS_LEASE_MS)
    deliver(2)
    expect(isLeaseValid()).toBe(false)
    confirm(2, performance.now())
    expect(isLeaseValid()).toBe(true)
  })

  // Guards against checks of sound connections, several a second at each host, while the contents of stores change.
  it('expects no message before the control host has combined the changes', () => {
    deliver(1)
    confirm(1, performance.now())
    expect(heldBackMs).toBeUndefined()
    confirm(2, performance.now())
    expect(heldBackMs).toBe(STORED_PARTS_BATCH_MS)
  })

  it('renews the lease by a status response whose version arrives only after it', () => {
    deliver(1)
    vi.advanceTimersByTime(STORED_PARTS_LEASE_MS)
    const askedAt = performance.now()
    vi.advanceTimersByTime(RESPONSE_MS)
    confirm(2, askedAt)
    expect(isLeaseValid()).toBe(false)
    deliver(2)
    expect(isLeaseValid()).toBe(true)
    vi.advanceTimersByTime(STORED_PARTS_LEASE_MS - RESPONSE_MS)
    expect(isLeaseValid()).toBe(false)
  })

  it('renews the lease by a status response with a version that has arrived before it, and newer ones as well', () => {
    deliver(1)
    vi.advanceTimersByTime(STORED_PARTS_LEASE_MS)
    const askedAt = performance.now()
    deliver(2)
    deliver(3)
    confirm(2, askedAt)
    expect(isLeaseValid()).toBe(true)
  })
})
