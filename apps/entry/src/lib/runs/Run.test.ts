import { describe, expect, it } from 'vitest'
import type { Clock } from '@eelgrassmux/schema/Clock'
import { Run, type RunChunk } from './Run.js'

class ManualClock implements Clock {
  time = 0
  now (): number { return this.time }
  wallClock (): number { return this.time }
  async sleep (): Promise<void> {}
}

function newRun (): { run: Run, clock: ManualClock } {
  const clock = new ManualClock()
  return { run: new Run('run-1', 'ward', clock), clock }
}

const COMPLETE = { kind: 'complete', finishReason: 'length', promptTokens: 1, cachedTokens: 0 } as const

describe('Run', () => {
  it('delivers the complete answer from the offset of each reader, before and after the end', async () => {
    const { run } = newRun()
    const chunks: RunChunk[] = []
    const early = (async () => { for await (const chunk of run.read(0, new AbortController().signal)) chunks.push(chunk) })()
    run.push(['a', 'b'], 'v1')
    await new Promise(resolve => { setImmediate(resolve) })
    run.push(['c'], 'v1')
    run.finish(COMPLETE)
    await early
    expect(chunks).toEqual([{ kind: 'tokens', offset: 0, tokens: ['a', 'b'] }, { kind: 'tokens', offset: 2, tokens: ['c'] }, COMPLETE])
    const late: RunChunk[] = []
    for await (const chunk of run.read(1, new AbortController().signal)) late.push(chunk)
    expect(late).toEqual([{ kind: 'tokens', offset: 1, tokens: ['b', 'c'] }, COMPLETE])
    expect(run.wasReadToEnd).toBe(true)
  })

  it('applies backpressure for a slow reader, and continues when the reader detaches', async () => {
    const { run } = newRun()
    const reader = run.attach(0, () => {})
    run.push(Array.from({ length: 3000 }, () => 't'), 'v1')
    expect(run.needsBackpressure).toBe(true)
    let isReleased = false
    const waiting = run.waitForReaders(new AbortController().signal).then(() => { isReleased = true })
    await Promise.resolve()
    expect(isReleased).toBe(false)
    reader.detach()
    await waiting
    expect(run.needsBackpressure).toBe(false)
  })

  it('measures the time without readers', () => {
    const { run, clock } = newRun()
    clock.time = 100
    expect(run.unreadMs(100)).toBe(100)
    const reader = run.attach(0, () => {})
    expect(run.unreadMs(150)).toBe(0)
    clock.time = 200
    reader.detach()
    expect(run.unreadMs(260)).toBe(60)
  })

  it('keeps its first end', () => {
    const { run } = newRun()
    run.finish(COMPLETE)
    run.finish({ kind: 'failed', refusal: { reason: 'endpoint-failed', status: 502, run: 'unknown', detail: '' } })
    expect(run.end).toEqual(COMPLETE)
  })
})
