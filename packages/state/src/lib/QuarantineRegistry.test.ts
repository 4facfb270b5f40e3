import { describe, expect, it } from 'vitest'
import type { QuarantineDecision } from '@eelgrassmux/schema/quarantineEntry'
import { decodeCommand, encodeCommand, mayChangeView } from './commandCodec.js'
import { stateImageSchema, type Command } from './commands.js'
import { StateMachine } from './StateMachine.js'
import { MOST_ENTRIES } from './QuarantineRegistry.js'

const FINGERPRINT = 'a'.repeat(32)
const DAY_MS = 24 * 60 * 60 * 1000

function changed (decision: QuarantineDecision['decision'], forMs = 1000, fingerprint = FINGERPRINT): Command {
  return { kind: 'change-quarantine', decisions: [{ fingerprint, service: 's', decision, forMs }] }
}

function machine (...commands: ReadonlyArray<readonly [number, Command]>): StateMachine {
  const state = new StateMachine()
  for (const [stampedAt, command] of commands) state.apply(decodeCommand(encodeCommand({ stampedAt, command })))
  return state
}

describe('QuarantineRegister', () => {
  it('leads from suspicion to quarantine, release and the end', () => {
    const state = machine([0, changed('suspect')], [10, changed('quarantine', 1000)])
    expect(state.quarantine.find(FINGERPRINT)).toMatchObject({ state: 'quarantined', endsAt: 1010, quarantines: 1 })
    state.apply({ stampedAt: 1009, command: { kind: 'expire-quarantine' } })
    expect(state.quarantine.find(FINGERPRINT)?.state).toBe('quarantined')
    state.apply({ stampedAt: 1010, command: { kind: 'expire-quarantine' } })
    expect(state.quarantine.find(FINGERPRINT)).toMatchObject({ state: 'released', endsAt: 1010 + DAY_MS })
    state.apply({ stampedAt: 1010 + DAY_MS, command: { kind: 'expire-quarantine' } })
    expect(state.quarantine.all).toEqual([])
  })

  it('counts how often a request was quarantined', () => {
    const state = machine([0, changed('quarantine')], [1000, { kind: 'expire-quarantine' }], [1500, changed('quarantine', 2000)])
    expect(state.quarantine.find(FINGERPRINT)).toMatchObject({ state: 'quarantined', endsAt: 3500, quarantines: 2 })
  })

  it('does not lengthen a quarantine, nor weaken it by a suspicion', () => {
    const state = machine([0, changed('quarantine')], [500, changed('quarantine')], [600, changed('suspect')])
    expect(state.quarantine.find(FINGERPRINT)).toMatchObject({ state: 'quarantined', endsAt: 1000, quarantines: 1 })
  })

  it('forgets a request that came through', () => {
    expect(machine([0, changed('quarantine')], [1, changed('clear', 0)]).quarantine.all).toEqual([])
  })

  it('ends nothing early when the clock of a new leader lies behind', () => {
    const state = machine([5000, changed('quarantine')], [100, { kind: 'expire-quarantine' }])
    expect(state.quarantine.find(FINGERPRINT)?.endsAt).toBe(6000)
  })

  it('holds a bounded number: what is only suspected goes before what is quarantined', () => {
    const name = (number: number): string => number.toString(16).padStart(32, '0')
    const state = machine([0, changed('quarantine', 1, FINGERPRINT)], ...Array.from({ length: MOST_ENTRIES + 10 }, (_, number): [number, Command] => [0, changed('suspect', 1000 + number, name(number))]))
    expect(state.quarantine.all).toHaveLength(MOST_ENTRIES)
    expect(state.quarantine.find(FINGERPRINT)?.state).toBe('quarantined')
    expect(state.quarantine.find(name(0))).toBeUndefined()
  })
})

describe('StateMachine with entries', () => {
  it('raises the view only if an entry changed, and names the requests', () => {
    const state = machine([0, changed('quarantine')], [1, changed('quarantine')])
    expect(state.viewRevision).toBe(1)
    expect(state.changesSince(0)).toMatchObject([{ quarantineChanged: [FINGERPRINT] }])
  })

  it('keeps entries over a snapshot, and takes one from before there were any', () => {
    const restored = new StateMachine()
    restored.restore(stateImageSchema.parse(machine([0, changed('quarantine')]).image()))
    expect(restored.quarantine.find(FINGERPRINT)?.state).toBe('quarantined')
    const { quarantine, ...older } = new StateMachine().image()
    expect(stateImageSchema.parse(older).quarantine).toEqual(quarantine)
  })

  it('says in the log that a command may change the view', () => {
    const commands: Command[] = [changed('suspect'), { kind: 'expire-quarantine' }]
    for (const command of commands) expect(mayChangeView(encodeCommand({ stampedAt: 0, command }))).toBe(true)
  })
})
