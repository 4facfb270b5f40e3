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
    it('accepts only the first of two changes with the same expected revision', () => {
      const state = new StateMachine()
      expect(apply(state, change('a', [model('v1')], 0))).toEqual({ kind: 'accepted', revision: 1 })
      expect(apply(state, change('b', [model('v2')], 0))).toEqual({ kind: 'revision-conflict', revision: 1 })
      expect(state.configuration.documents).toEqual([model('v1')])
    })

    it('returns the first result for a resent request, even after later changes', () => {
      const state = new StateMachine()
      apply(state, change('a', [model('v1')]))
      apply(state, change('b', [model('v2')]))
      expect(apply(state, change('a', [model('v1')]))).toEqual({ kind: 'accepted', revision: 1 })
      expect(state.configuration.documents).toEqual([model('v2')])
    })

    it('rejects a reference to an undefined document and names it', () => {
      const state = new StateMachine()
      const result = apply(state, change('a', [{ kind: 'service', type: 'model', name: 's', model: 'none', profile: 'none' }]))
      expect(result).toEqual({ kind: 'invalid', message: 'service/s profile: profile/none is not defined' })
      expect(state.revision).toBe(0)
    })

    it('returns the changes for a watcher that lags slightly, and none for one that lags too far', () => {
      const state = new StateMachine()
      for (let count = 1; count <= 600; count += 1) apply(state, change(`r${count}`, [model(`v${count}`)]))
      expect(state.changesSince(598)?.map(step => step.viewRevision)).toEqual([599, 600])
      expect(state.changesSince(1)).toBeUndefined()
    })

    it('restores the results of earlier requests from a snapshot', () => {
      const state = new StateMachine()
      apply(state, change('a', [model('v1')]))
      const restored = new StateMachine()
      restored.restore(state.image())
      expect(apply(restored, change('a', [model('v9')]))).toEqual({ kind: 'accepted', revision: 1 })
      expect(restored.image()).toEqual(state.image())
    })
  })

  describe('at-most-once records', () => {
    it('grants a key once and returns the stored response for later claims', () => {
      const state = new StateMachine()
      const answer = { status: 200, contentType: 'text/plain', body: new Uint8Array([1]) }
      expect(apply(state, claim('c1'))).toEqual({ kind: 'claim', result: { kind: 'claimed' } })
      expect(apply(state, claim('c2'))).toEqual({ kind: 'claim', result: { kind: 'in-progress', deadlineAt: 1000 } })
      apply(state, { kind: 'complete', record, claimId: 'c1', answer })
      expect(apply(state, claim('c3'))).toEqual({ kind: 'claim', result: { kind: 'answered', answer } })
    })

    it('never grants a key again after a claim with an unknown outcome', () => {
      const state = new StateMachine()
      apply(state, claim('c1'))
      expect(apply(state, claim('c2'), 1001)).toEqual({ kind: 'claim', result: { kind: 'outcome-unknown' } })
    })

    it('rejects a claim of the same key with a different body', () => {
      const state = new StateMachine()
      apply(state, claim('c1'))
      expect(apply(state, claim('c2', { bodySha256: 'other' }))).toEqual({ kind: 'claim', result: { kind: 'body-differs' } })
    })

    it('keeps the records of different customers separate under the same key', () => {
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

    it('does not release a record that has a response', () => {
      const state = new StateMachine()
      const answer = { status: 200, contentType: 'text/plain', body: new Uint8Array() }
      apply(state, claim('c1'))
      apply(state, { kind: 'complete', record, claimId: 'c1', answer })
      expect(apply(state, { kind: 'release', record, claimId: 'c1' })).toEqual({ kind: 'no-such-claim' })
      expect(apply(state, claim('c2'))).toEqual({ kind: 'claim', result: { kind: 'answered', answer } })
    })

    it('removes records after the retention window, according to the timestamps in the log', () => {
      const state = new StateMachine({ recordWindowMs: 100, maxRememberedRequests: 10 })
      apply(state, claim('c1'), 50)
      apply(state, { kind: 'expire' }, 150)
      expect(state.recordCount).toBe(1)
      apply(state, { kind: 'expire' }, 151)
      expect(state.recordCount).toBe(0)
    })
  })

  describe('shards', () => {
    it('assigns a new epoch when the owner of a shard changes, and keeps it otherwise', () => {
      const state = new StateMachine()
      apply(state, { kind: 'assign-shards', owners: ['a', 'b'] })
      apply(state, { kind: 'assign-shards', owners: ['a', 'c'] })
      expect(state.shards).toEqual([{ owner: 'a', epoch: 1 }, { owner: 'c', epoch: 2 }])
    })
  })
})
