import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import type { SentRequest } from '../observations.js'
import { RequestHistory } from '../RequestHistory.js'
import { STARTED, Timeline } from '../Timeline.js'
import { CutOffHostsServeCheck } from './CutOffHostsServeCheck.js'

const CUT_MS = 8000
const REQUESTS = 40

describe('CutOffHostsServeCheck', () => {
  let line: Timeline
  let check: CutOffHostsServeCheck
  let history: RequestHistory

  beforeEach(() => {
    vi.useFakeTimers()
    line = new Timeline()
    check = new CutOffHostsServeCheck()
    history = new RequestHistory(line, [check])
    for (const host of ['entry-0#1', 'entry-1#1', 'entry-2#1']) line.record(host, STARTED, false)
    vi.advanceTimersByTime(5000)
  })

  afterEach(() => { vi.useRealTimers() })

  function end (host: string, number: number, status: number): void {
    const request: SentRequest = { id: `${host}-${number}`, kind: 'safe', customer: 'ward', work: { kind: 'plain', milliseconds: 0 }, body: '', host, sentAt: Date.now(), siteVersion: 0 }
    history.recordRequest(request)
    history.recordOutcome({ request, end: { kind: 'answered', status, answerId: undefined, body: '', events: [] }, endedAt: Date.now() })
  }

  /** The first host is cut off and refuses everything; the last one serves two requests in the first moment. */
  function playCut (meanwhile: () => void): string[] {
    check.recordCut(['entry-0'], CUT_MS)
    vi.advanceTimersByTime(3100)
    for (const number of [1, 2]) end('entry-2#1', number, 200)
    vi.advanceTimersByTime(100)
    meanwhile()
    vi.advanceTimersByTime(100)
    for (let number = 0; number < REQUESTS; number += 1) {
      end('entry-0#1', number, 503)
      vi.advanceTimersByTime(50)
    }
    history.settleAll()
    return history.violations.map(({ detail }) => detail)
  }

  it('reports a host that refuses its requests while another one runs', () => {
    expect(playCut(() => { line.recordStop('entry-1#1', 8000) })).toHaveLength(1)
  })

  // Guards against runs that fail because hosts that are cut off serve nothing while no other host is there.
  it('accepts refusals while each other host is stopping or paused', () => {
    expect(playCut(() => {
      line.recordStop('entry-1#1', 8000)
      line.record('entry-2#1', 'SIGSTOP', true, 5000)
    })).toEqual([])
  })

  it('accepts refusals while each other host is stopping or cut off itself', () => {
    expect(playCut(() => {
      line.recordStop('entry-1#1', 8000)
      check.recordCut(['entry-2'], CUT_MS)
    })).toEqual([])
  })

  it('reports refusals while another host is there again', () => {
    line.recordKill('entry-1#1', true)
    line.record('entry-1#1', 'exited with a signal', false)
    line.record('entry-1#2', STARTED, false)
    expect(playCut(() => { line.recordStop('entry-2#1', 8000) })).toHaveLength(1)
  })
})
