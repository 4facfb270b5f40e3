import { beforeEach, describe, expect, it, vi } from 'vitest'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { MemoryGuard } from './MemoryGuard.js'

const LIMIT_BYTES = 200_000_000
const MEGABYTE = 1_000_000

describe('memory guard', () => {
  let resident = 0
  let heap = 0
  /** Heap that is live: what a collection leaves. */
  let live = 0
  let now = 0
  let collections = 0
  let guard: MemoryGuard
  const telemetry = new Telemetry('small')
  const log = vi.spyOn(telemetry, 'logStateChange')

  const process = {
    residentBytes: () => resident,
    breakdown: () => ({ residentBytes: resident, heapBytes: heap, heapUsedBytes: heap, youngGenerationBytes: 0, externalBytes: 0, arrayBufferBytes: 0 }),
    held: () => ({ connections: 7, requests: 3 }),
    collect: () => {
      collections += 1
      resident -= heap - live
      heap = live
    },
    now: () => now
  }

  /** Sets the resident memory and the live heap, both in megabytes; the heap with its garbage is 100 MB smaller than the resident memory. */
  function checkAt (residentMb: number, liveMb: number): void {
    resident = residentMb * MEGABYTE
    heap = resident - 100 * MEGABYTE
    live = liveMb * MEGABYTE
    guard.check()
  }

  beforeEach(() => {
    collections = 0
    now = 10_000
    log.mockClear()
    telemetry.registry.clear()
    guard = new MemoryGuard(LIMIT_BYTES, process, telemetry)
  })

  // Guards against a killed process whose log says nothing about its memory.
  it('logs what the process holds when its memory passes a share of the limit', () => {
    checkAt(130, 30)
    expect(log).not.toHaveBeenCalled()
    checkAt(185, 85)
    expect(log.mock.calls).toEqual([['memory', expect.objectContaining({ share: 0.9, isAbove: true, limitBytes: LIMIT_BYTES, residentBytes: resident, connections: 7, requests: 3 })]])
  })

  // Guards against a process that is killed although most of what it holds is garbage.
  it('collects garbage close to the limit, which ends the need to shed', () => {
    checkAt(195, 20)
    expect([collections, guard.isShedding]).toEqual([1, false])
  })

  it('does not collect again before some seconds, or while too little could be freed', () => {
    checkAt(170, 65)
    checkAt(170, 20)
    expect(collections).toBe(1)
    now += 5000
    checkAt(170, 65)
    expect(collections).toBe(1)
    checkAt(178, 65)
    expect(collections).toBe(2)
  })

  // Guards against a host that takes on work until it is killed, and then loses all that is under way.
  it('sheds while what is in use is close to the limit, until it is well below', () => {
    const shedding = [179, 181, 176, 171].map(residentMb => {
      checkAt(residentMb, residentMb - 100)
      return guard.isShedding
    })
    expect(shedding).toEqual([false, true, true, false])
  })

  // Guards against a host that refuses for good, because its memory stays just above the mark and no growth calls for a collection.
  it('collects again while it sheds, even if memory has not grown', () => {
    checkAt(185, 85)
    now += 29_000
    checkAt(185, 40)
    expect([collections, guard.isShedding]).toEqual([1, true])
    now += 1000
    checkAt(185, 40)
    expect([collections, guard.isShedding]).toEqual([2, false])
  })
})
