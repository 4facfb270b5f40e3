import { describe, expect, it } from 'vitest'
import type { QuarantineDecision } from '@eelgrassmux/schema/quarantineEntry'
import { decodeCommand, encodeCommand, mayChangeView } from './commandCodec.js'
import { stateImageSchema, type Command } from './commands.js'
import { StateMachine } from './StateMachine.js'
import { MAX_ENTRIES } from './QuarantineRegistry.js'

const FINGERPRINT = 'a'.repeat(32)
const DAY_MS = 24 * 60 * 60 * 1000

function changeQuarantine (decision: QuarantineDecision['decision'], forMs = 1000, fingerprint = FINGERPRINT): Command {
  return { kind: 'change-quarantine', decisions: [{ fingerprint, service: 's', decision, forMs }] }
}

function stateAfter (...commands: ReadonlyArray<readonly [number, Command]>): StateMachine {
  const state = new StateMachine()
  for (const [stampedAt, command] of commands) state.apply(decodeCommand(encodeCommand({ stampedAt, command })))
  return state
}

describe('QuarantineRegistry', () => {
  it('moves an entry from suspected to quarantined to released and then removes it', () => {
    const state = stateAfter([0, changeQuarantine('suspect')], [10, changeQuarantine('quarantine', 1000)])
    expect(state.quarantine.find(FINGERPRINT)).toMatchObject({ state: 'quarantined', endsAt: 1010, quarantines: 1 })
    state.apply({ stampedAt: 1009, command: { kind: 'expire-quarantine' } })
    expect(state.quarantine.find(FINGERPRINT)?.state).toBe('quarantined')
    state.apply({ stampedAt: 1010, command: { kind: 'expire-quarantine' } })
    expect(state.quarantine.find(FINGERPRINT)).toMatchObject({ state: 'released', endsAt: 1010 + DAY_MS })
    state.apply({ stampedAt: 1010 + DAY_MS, command: { kind: 'expire-quarantine' } })
    expect(state.quarantine.all).toEqual([])
  })

  it('counts how often a request was quarantined', () => {
    const state = stateAfter([0, changeQuarantine('quarantine')], [1000, { kind: 'expire-quarantine' }], [1500, changeQuarantine('quarantine', 2000)])
    expect(state.quarantine.find(FINGERPRINT)).toMatchObject({ state: 'quarantined', endsAt: 3500, quarantines: 2 })
  })

  it('neither extends a quarantine nor replaces it by a suspicion', () => {
    const state = stateAfter([0, changeQuarantine('quarantine')], [500, changeQuarantine('quarantine')], [600, changeQuarantine('suspect')])
    expect(state.quarantine.find(FINGERPRINT)).toMatchObject({ state: 'quarantined', endsAt: 1000, quarantines: 1 })
  })

  it('removes the entry of a request that is cleared', () => {
    expect(stateAfter([0, changeQuarantine('quarantine')], [1, changeQuarantine('clear', 0)]).quarantine.all).toEqual([])
  })

  it('does not expire entries early when the clock of a new leader is behind', () => {
    const state = stateAfter([5000, changeQuarantine('quarantine')], [100, { kind: 'expire-quarantine' }])
    expect(state.quarantine.find(FINGERPRINT)?.endsAt).toBe(6000)
  })

  it('is bounded in size and evicts suspected entries before quarantined ones', () => {
    const fingerprintOf = (number: number): string => number.toString(16).padStart(32, '0')
    const state = stateAfter([0, changeQuarantine('quarantine', 1, FINGERPRINT)], ...Array.from({ length: MAX_ENTRIES + 10 }, (_, number): [number, Command] => [0, changeQuarantine('suspect', 1000 + number, fingerprintOf(number))]))
    expect(state.quarantine.all).toHaveLength(MAX_ENTRIES)
    expect(state.quarantine.find(FINGERPRINT)?.state).toBe('quarantined')
    expect(state.quarantine.find(fingerprintOf(0))).toBeUndefined()
  })
})

describe('StateMachine with quarantine entries', () => {
  it('increases the view revision only if an entry changed, and lists the changed fingerprints', () => {
    const state = stateAfter([0, changeQuarantine('quarantine')], [1, changeQuarantine('quarantine')])
    expect(state.viewRevision).toBe(1)
    expect(state.changesSince(0)).toMatchObject([{ quarantineChanged: [FINGERPRINT] }])
  })

  it('restores entries from a snapshot, and accepts a snapshot of a release without a quarantine', () => {
    const restored = new StateMachine()
    restored.restore(stateImageSchema.parse(stateAfter([0, changeQuarantine('quarantine')]).image()))
    expect(restored.quarantine.find(FINGERPRINT)?.state).toBe('quarantined')
    const { quarantine, ...older } = new StateMachine().image()
    expect(stateImageSchema.parse(older).quarantine).toEqual(quarantine)
  })

  it('marks quarantine commands in the log as commands that may change the view', () => {
    const commands: Command[] = [changeQuarantine('suspect'), { kind: 'expire-quarantine' }]
    for (const command of commands) expect(mayChangeView(encodeCommand({ stampedAt: 0, command }))).toBe(true)
  })
})
