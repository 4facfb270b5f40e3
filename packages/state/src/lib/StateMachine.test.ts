import { describe, expect, it } from 'vitest'
import type { ConfigurationDocument } from '@eelgrassmux/schema/configuration'
import type { Command, CommandResult } from './commands.js'
import { StateMachine } from './StateMachine.js'

const model = (version: string): ConfigurationDocument => ({ kind: 'model', name: 'base', version, servingFloor: 0 })

const record = { customer: 'ward', service: 'accounts', idempotencyKey: 'k1' }

function claim (claimId: string, overrides: Partial<Extract<Command, { kind: 'claim' }>> = {}): Command {
  return { kind: 'claim', record, bodySha256: 'body', claimId, deadlineAt: 1000, ...overrides }
}

describe('StateMachine', () => {
  const apply = (state: StateMachine, command: Command, stampedAt = 0): CommandResult => state.apply({ stampedAt, command })
  const change = (requestId: string, upserts: ConfigurationDocument[], expectedRevision?: number): Command =>
    ({ kind: 'change-configuration', requestId, upserts, removes: [], ...(expectedRevision === undefined ? {} : { expectedRevision }) })

  describe('configuration', () => {
    it('lets one of two operators under equal numbers win', () => {
      const state = new StateMachine()
      expect(apply(state, change('a', [model('v1')], 0))).toEqual({ kind: 'accepted', revision: 1 })
      expect(apply(state, change('b', [model('v2')], 0))).toEqual({ kind: 'revision-conflict', revision: 1 })
      expect(state.configuration.documents).toEqual([model('v1')])
    })

    it('gives a resend the first answer, also after later changes', () => {
      const state = new StateMachine()
      apply(state, change('a', [model('v1')]))
      apply(state, change('b', [model('v2')]))
      expect(apply(state, change('a', [model('v1')]))).toEqual({ kind: 'accepted', revision: 1 })
      expect(state.configuration.documents).toEqual([model('v2')])
    })

    it('refuses a reference to nothing and names it', () => {
      const state = new StateMachine()
      const result = apply(state, change('a', [{ kind: 'service', type: 'model', name: 's', model: 'none', profile: 'none' }]))
      expect(result).toEqual({ kind: 'invalid', message: 'service/s profile: profile/none is not defined' })
      expect(state.revision).toBe(0)
    })

    it('brings a watcher up to date by changes, or not at all when too far behind', () => {
      const state = new StateMachine()
      for (let turn = 1; turn <= 600; turn += 1) apply(state, change(`r${turn}`, [model(`v${turn}`)]))
      expect(state.changesSince(598)?.map(step => step.viewRevision)).toEqual([599, 600])
      expect(state.changesSince(1)).toBeUndefined()
    })

    it('survives a snapshot with its table of requests', () => {
      const state = new StateMachine()
      apply(state, change('a', [model('v1')]))
      const restored = new StateMachine()
      restored.restore(state.image())
      expect(apply(restored, change('a', [model('v9')]))).toEqual({ kind: 'accepted', revision: 1 })
      expect(restored.image()).toEqual(state.image())
    })
  })

  describe('at-most-once records', () => {
    it('grants a key once and repeats the stored answer', () => {
      const state = new StateMachine()
      const answer = { status: 200, contentType: 'text/plain', body: new Uint8Array([1]) }
      expect(apply(state, claim('c1'))).toEqual({ kind: 'claim', result: { kind: 'claimed' } })
      expect(apply(state, claim('c2'))).toEqual({ kind: 'claim', result: { kind: 'in-progress', deadlineAt: 1000 } })
      apply(state, { kind: 'complete', record, claimId: 'c1', answer })
      expect(apply(state, claim('c3'))).toEqual({ kind: 'claim', result: { kind: 'answered', answer } })
    })

    it('never grants a key again after a claim whose outcome was lost', () => {
      const state = new StateMachine()
      apply(state, claim('c1'))
      expect(apply(state, claim('c2'), 1001)).toEqual({ kind: 'claim', result: { kind: 'outcome-unknown' } })
    })

    it('refuses the key with another body', () => {
      const state = new StateMachine()
      apply(state, claim('c1'))
      expect(apply(state, claim('c2', { bodySha256: 'other' }))).toEqual({ kind: 'claim', result: { kind: 'body-differs' } })
    })

    it('keeps customers apart under the same key', () => {
      const state = new StateMachine()
      apply(state, claim('c1'))
      const other = claim('c2', { record: { ...record, customer: 'clinic' } })
      expect(apply(state, other)).toEqual({ kind: 'claim', result: { kind: 'claimed' } })
    })

    it('does not grant a claim that was released before it was applied', () => {
      const state = new StateMachine()
      apply(state, { kind: 'release', record, claimId: 'c1' })
      expect(apply(state, claim('c1'))).toEqual({ kind: 'claim', result: { kind: 'released' } })
      expect(apply(state, claim('c2'))).toEqual({ kind: 'claim', result: { kind: 'claimed' } })
    })

    it('does not release a record that has an answer', () => {
      const state = new StateMachine()
      const answer = { status: 200, contentType: 'text/plain', body: new Uint8Array() }
      apply(state, claim('c1'))
      apply(state, { kind: 'complete', record, claimId: 'c1', answer })
      expect(apply(state, { kind: 'release', record, claimId: 'c1' })).toEqual({ kind: 'no-such-claim' })
      expect(apply(state, claim('c2'))).toEqual({ kind: 'claim', result: { kind: 'answered', answer } })
    })

    it('forgets records after the window, by the clock of the log', () => {
      const state = new StateMachine({ recordWindowMs: 100, maxRememberedRequests: 10 })
      apply(state, claim('c1'), 50)
      apply(state, { kind: 'expire' }, 150)
      expect(state.recordCount).toBe(1)
      apply(state, { kind: 'expire' }, 151)
      expect(state.recordCount).toBe(0)
    })
  })

  describe('shards', () => {
    it('gives a new epoch to each new owner and keeps that of an old one', () => {
      const state = new StateMachine()
      apply(state, { kind: 'assign-shards', owners: ['a', 'b'] })
      apply(state, { kind: 'assign-shards', owners: ['a', 'c'] })
      expect(state.shards).toEqual([{ owner: 'a', epoch: 1 }, { owner: 'c', epoch: 2 }])
    })
  })
})
