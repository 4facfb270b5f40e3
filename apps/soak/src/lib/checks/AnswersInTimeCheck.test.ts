import { describe, expect, it } from 'vitest'
import type { SentRequest } from '../observations.js'
import { STARTED, Timeline } from '../Timeline.js'
import { AnswersInTimeCheck } from './AnswersInTimeCheck.js'

describe('AnswersInTimeCheck', () => {
  function violationsAfter (milliseconds: number, disturb: (timeline: Timeline) => void = () => {}): string[] {
    const timeline = new Timeline()
    timeline.record('entry-0#1', STARTED, false)
    disturb(timeline)
    const sentAt = Date.now() + 1000
    const request: SentRequest = { id: 'a', kind: 'safe', customer: 'ward', work: { kind: 'plain', milliseconds: 0 }, body: '', host: 'entry-0#1', sentAt, siteVersion: 0, deadlineMs: 3000 }
    const check = new AnswersInTimeCheck(timeline)
    check.recordEnd(request, sentAt + milliseconds, 0)
    return check.onEnd()
  }

  it('finds requests that end more than half a second after their deadline', () => {
    expect(violationsAfter(3500)).toEqual([])
    expect(violationsAfter(3501)).toHaveLength(1)
  })

  it('leaves out hosts that were disturbed meanwhile', () => {
    expect(violationsAfter(3501, timeline => { timeline.record('entry-0#1', 'SIGSTOP', true, 3000) })).toEqual([])
    expect(violationsAfter(3501, timeline => { timeline.recordKill('entry-0#1', true) })).toEqual([])
  })
})
