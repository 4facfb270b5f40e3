import { encode } from '@msgpack/msgpack'
import { describe, expect, it } from 'vitest'
import { decodeCommand } from './commandCodec.js'
import { stateImageSchema } from './commands.js'
import { StateMachine } from './StateMachine.js'

const FINGERPRINT = 'a'.repeat(32)

const ENTRY = { fingerprint: FINGERPRINT, service: 'engines', state: 'quarantined', endsAt: 900_000, quarantines: 1 }

function encodeLegacyCommand (command: unknown): Uint8Array {
  return new Uint8Array([1, ...encode({ stampedAt: 5, command })])
}

describe('logs of earlier releases', () => {
  it('are read with the requests that were quarantined', () => {
    const legacyDecisions = [{ fingerprint: FINGERPRINT, service: 'engines', judgement: 'quarantine', forMs: 900_000 }]
    const state = new StateMachine()
    state.apply(decodeCommand(encodeLegacyCommand({ kind: 'judge-requests', judgements: legacyDecisions })))
    expect(state.quarantine.find(FINGERPRINT)).toMatchObject({ state: 'quarantined', quarantines: 1 })
  })

  it('are read with the command that expires the quarantine', () => {
    expect(decodeCommand(encodeLegacyCommand({ kind: 'expire-verdicts' }))).toEqual({ stampedAt: 5, command: { kind: 'expire-quarantine' } })
  })
})

describe('snapshots of earlier releases', () => {
  it('are read with the requests that were quarantined', () => {
    const { quarantine, ...current } = new StateMachine().image()
    expect(quarantine).toEqual([])
    expect(stateImageSchema.parse({ ...current, verdicts: [ENTRY] }).quarantine).toEqual([ENTRY])
  })
})
