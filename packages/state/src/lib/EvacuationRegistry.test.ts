import { describe, expect, it } from 'vitest'
import { decodeCommand, encodeCommand, mayChangeView } from './commandCodec.js'
import { stateImageSchema, type Command, type CommandResult } from './commands.js'
import { MAX_DATA_CENTRES } from './EvacuationRegistry.js'
import { StateMachine } from './StateMachine.js'

const order = (dataCentre: string, isEvacuated: boolean, knownRevision = 0): Command => ({ kind: 'order-evacuation', dataCentre, isEvacuated, knownRevision })

describe('evacuations', () => {
  const apply = (state: StateMachine, command: Command, stampedAt = 0): CommandResult => state.apply({ stampedAt, command })

  it('take effect with the order, also for several data centres, and keep the time of the order', () => {
    const state = new StateMachine()
    expect(apply(state, order('north', true), 5)).toEqual({ kind: 'accepted', revision: 1 })
    expect(apply(state, order('south', true, 1), 9)).toEqual({ kind: 'accepted', revision: 2 })
    expect(state.evacuations.evacuated).toEqual(['north', 'south'])
    expect(state.evacuations.orders).toMatchObject([{ dataCentre: 'north', orderedAt: 5 }, { dataCentre: 'south', orderedAt: 9 }])
    apply(state, order('north', false, 2))
    expect(state.evacuations.evacuated).toEqual(['south'])
  })

  it('do not change, nor does the view revision, when an order is resent', () => {
    const state = new StateMachine()
    apply(state, order('north', true))
    const { viewRevision } = state
    expect(apply(state, order('north', true, 1), 7)).toEqual({ kind: 'accepted', revision: 2 })
    expect(apply(state, order('never', false))).toEqual({ kind: 'accepted', revision: 3 })
    expect(state.viewRevision).toBe(viewRevision)
    expect(state.evacuations.orders[0]).toMatchObject({ dataCentre: 'north', isEvacuated: true, orderedAt: 0 })
  })

  it('are not started by an order that arrives after a later end order, even if that one had nothing to end', () => {
    const state = new StateMachine()
    expect(apply(state, order('north', false)).kind).toBe('accepted')
    expect(apply(state, order('north', true)).kind).toBe('revision-conflict')
    expect(state.evacuations.evacuated).toEqual([])
  })

  it('are not restarted by an order that was issued before the end order but arrives after it', () => {
    const state = new StateMachine()
    apply(state, order('north', true))
    apply(state, order('north', false, 1))
    expect(apply(state, order('north', true, 1))).toEqual({ kind: 'revision-conflict', revision: 2 })
    expect(state.evacuations.evacuated).toEqual([])
  })

  it('are not ended by an order that was issued before a newer start order but arrives after it', () => {
    const state = new StateMachine()
    apply(state, order('north', true))
    apply(state, order('north', false, 1))
    apply(state, order('north', true, 2))
    expect(apply(state, order('north', false, 1)).kind).toBe('revision-conflict')
    expect(state.evacuations.evacuated).toEqual(['north'])
  })

  it('are not rejected because of orders for other data centres', () => {
    const state = new StateMachine()
    apply(state, order('north', true))
    expect(apply(state, order('south', true, 0)).kind).toBe('accepted')
  })

  it('are restored from a snapshot with the revisions that reject delayed orders, and default to none in older snapshots', () => {
    const state = new StateMachine()
    apply(state, order('north', true))
    apply(state, order('north', false, 1))
    apply(state, order('south', true, 2))
    const restored = new StateMachine()
    restored.restore(stateImageSchema.parse(JSON.parse(JSON.stringify(state.image()))))
    expect(restored.evacuations.evacuated).toEqual(['south'])
    expect(apply(restored, order('north', true, 1)).kind).toBe('revision-conflict')
    const { evacuations, ...older } = state.image()
    expect(evacuations.revision).toBe(3)
    expect(stateImageSchema.parse(older).evacuations).toEqual({ revision: 0, orders: [] })
  })

  it('are bounded in number, and none in force is removed', () => {
    const state = new StateMachine()
    apply(state, order('ended', true))
    apply(state, order('ended', false, 1))
    for (let index = 0; index < MAX_DATA_CENTRES; index += 1) expect(apply(state, order(`hall-${index}`, true, state.evacuations.revision)).kind).toBe('accepted')
    expect(state.evacuations.orders).toHaveLength(MAX_DATA_CENTRES)
    expect(apply(state, order('one-more', true, state.evacuations.revision))).toMatchObject({ kind: 'invalid' })
    expect(state.evacuations.evacuated).toHaveLength(MAX_DATA_CENTRES)
  })

  it('are marked in the log as commands that may change the view', () => {
    const bytes = encodeCommand({ stampedAt: 1, command: order('north', true) })
    expect(mayChangeView(bytes)).toBe(true)
    expect(decodeCommand(bytes).command).toEqual(order('north', true))
  })
})
