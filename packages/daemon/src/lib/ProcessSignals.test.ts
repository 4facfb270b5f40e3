import { describe, expect, it } from 'vitest'
import { ProcessSignals } from './ProcessSignals.js'

/** Longer than any test may take, in milliseconds: only a signal ends the sleep. */
const LONG_MS = 120_000

describe('ProcessSignals', () => {
  // Guards against waits that end only at their interval although the platform has rewritten the settings, or wants the process to stop.
  it('ends a sleep at a signal to reload, and at a signal to stop from which on nothing sleeps', async () => {
    const signals = new ProcessSignals()
    const first = signals.sleep(LONG_MS)
    process.emit('SIGHUP', 'SIGHUP')
    await first
    expect(signals.isStopReceived).toBe(false)
    const second = signals.sleep(LONG_MS)
    process.emit('SIGTERM', 'SIGTERM')
    await second
    expect(signals.isStopReceived).toBe(true)
    await signals.sleep(LONG_MS)
  })
})
