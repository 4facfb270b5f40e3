import { describe, expect, it } from 'vitest'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { ResponseMemory, responseMemoryBounds, type KeptResponse } from './ResponseMemory.js'

const KILOBYTE = 1024

describe('ResponseMemory', () => {
  const BOUNDS = { totalBytes: 1000 * KILOBYTE, customerBytes: 500 * KILOBYTE }

  /** Opens responses that are counted among the cut ones of their endpoint. */
  function openResponses (): { readonly memory: ResponseMemory, readonly cut: string[], open (endpoint: string): KeptResponse } {
    const memory = new ResponseMemory(BOUNDS, new Telemetry('test'))
    const cut: string[] = []
    return { memory, cut, open: endpoint => memory.open(endpoint, details => { cut.push(details.endpoint) }) }
  }

  // Guards against unfinished events that are bounded for each request only: 250 of 1 MiB each ended hosts.
  it('keeps the bound however many responses of an endpoint go on without an end', () => {
    const { memory, cut, open } = openResponses()
    const responses = Array.from({ length: 250 }, () => open('bad'))
    for (let bytes = 16 * KILOBYTE; bytes <= 1024 * KILOBYTE; bytes += 16 * KILOBYTE) {
      for (const response of responses) {
        response.update(bytes)
        expect(memory.totalBytes).toBeLessThanOrEqual(BOUNDS.totalBytes)
      }
    }
    expect(cut.length).toBeGreaterThan(200)
  })

  it('cuts responses of the endpoint that occupies most, and none of another one', () => {
    const { cut, open } = openResponses()
    open('sound').update(100 * KILOBYTE)
    for (let response = 0; response < 20; response += 1) open('bad').update(100 * KILOBYTE)
    expect(new Set(cut)).toEqual(new Set(['bad']))
  })

  it('counts what has been passed on no more', () => {
    const { memory, cut, open } = openResponses()
    for (let response = 0; response < 1000; response += 1) {
      const kept = open('sound')
      kept.update(200 * KILOBYTE)
      kept.update(0)
    }
    const closed = open('sound')
    closed.update(200 * KILOBYTE)
    closed.close()
    expect({ cut, bytes: memory.totalBytes }).toEqual({ cut: [], bytes: 0 })
  })

  it('has bounds that follow the memory of the host', () => {
    expect(responseMemoryBounds(320)).toEqual({ totalBytes: 20_000_000, customerBytes: 10_000_000 })
    expect(responseMemoryBounds(0)).toEqual(responseMemoryBounds(256))
  })
})
