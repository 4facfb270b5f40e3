import { describe, expect, it } from 'vitest'
import type { Judgement } from '@eelgrassmux/schema/requestVerdict'
import { decodeCommand, encodeCommand, mayChangeView } from './commandCodec.js'
import { stateImageSchema, type Command } from './commands.js'
import { StateMachine } from './StateMachine.js'
import { MOST_VERDICTS } from './VerdictRegister.js'

const FINGERPRINT = 'a'.repeat(32)
const DAY_MS = 24 * 60 * 60 * 1000

function judged (judgement: Judgement['judgement'], forMs = 1000, fingerprint = FINGERPRINT): Command {
  return { kind: 'judge-requests', judgements: [{ fingerprint, service: 's', judgement, forMs }] }
}

function machine (...commands: ReadonlyArray<readonly [number, Command]>): StateMachine {
  const state = new StateMachine()
  for (const [stampedAt, command] of commands) state.apply(decodeCommand(encodeCommand({ stampedAt, command })))
  return state
}

describe('VerdictRegister', () => {
  it('leads from suspicion to quarantine, release and the end', () => {
    const state = machine([0, judged('suspect')], [10, judged('quarantine', 1000)])
    expect(state.verdicts.find(FINGERPRINT)).toMatchObject({ state: 'quarantined', endsAt: 1010, quarantines: 1 })
    state.apply({ stampedAt: 1009, command: { kind: 'expire-verdicts' } })
    expect(state.verdicts.find(FINGERPRINT)?.state).toBe('quarantined')
    state.apply({ stampedAt: 1010, command: { kind: 'expire-verdicts' } })
    expect(state.verdicts.find(FINGERPRINT)).toMatchObject({ state: 'released', endsAt: 1010 + DAY_MS })
    state.apply({ stampedAt: 1010 + DAY_MS, command: { kind: 'expire-verdicts' } })
    expect(state.verdicts.all).toEqual([])
  })

  it('counts how often a request was held back', () => {
    const state = machine([0, judged('quarantine')], [1000, { kind: 'expire-verdicts' }], [1500, judged('quarantine', 2000)])
    expect(state.verdicts.find(FINGERPRINT)).toMatchObject({ state: 'quarantined', endsAt: 3500, quarantines: 2 })
  })

  it('does not lengthen a quarantine, nor weaken it by a suspicion', () => {
    const state = machine([0, judged('quarantine')], [500, judged('quarantine')], [600, judged('suspect')])
    expect(state.verdicts.find(FINGERPRINT)).toMatchObject({ state: 'quarantined', endsAt: 1000, quarantines: 1 })
  })

  it('forgets a request that came through', () => {
    expect(machine([0, judged('quarantine')], [1, judged('clear', 0)]).verdicts.all).toEqual([])
  })

  it('ends nothing early when the clock of a new leader lies behind', () => {
    const state = machine([5000, judged('quarantine')], [100, { kind: 'expire-verdicts' }])
    expect(state.verdicts.find(FINGERPRINT)?.endsAt).toBe(6000)
  })

  it('holds a bounded number: what is only suspected goes before what is held back', () => {
    const name = (number: number): string => number.toString(16).padStart(32, '0')
    const state = machine([0, judged('quarantine', 1, FINGERPRINT)], ...Array.from({ length: MOST_VERDICTS + 10 }, (_, number): [number, Command] => [0, judged('suspect', 1000 + number, name(number))]))
    expect(state.verdicts.all).toHaveLength(MOST_VERDICTS)
    expect(state.verdicts.find(FINGERPRINT)?.state).toBe('quarantined')
    expect(state.verdicts.find(name(0))).toBeUndefined()
  })
})

describe('StateMachine with verdicts', () => {
  it('raises the view only if a verdict changed, and names the requests', () => {
    const state = machine([0, judged('quarantine')], [1, judged('quarantine')])
    expect(state.viewRevision).toBe(1)
    expect(state.changesSince(0)).toMatchObject([{ judged: [FINGERPRINT] }])
  })

  it('keeps verdicts over a snapshot, and takes one from before there were any', () => {
    const restored = new StateMachine()
    restored.restore(stateImageSchema.parse(machine([0, judged('quarantine')]).image()))
    expect(restored.verdicts.find(FINGERPRINT)?.state).toBe('quarantined')
    const { verdicts, ...older } = new StateMachine().image()
    expect(stateImageSchema.parse(older).verdicts).toEqual(verdicts)
  })

  it('says in the log that a command may change the view', () => {
    const commands: Command[] = [judged('suspect'), { kind: 'expire-verdicts' }]
    for (const command of commands) expect(mayChangeView(encodeCommand({ stampedAt: 0, command }))).toBe(true)
  })
})
