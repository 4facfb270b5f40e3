import { describe, expect, it } from 'vitest'
import { DEFAULT_RAFT_SETTINGS, RaftCore } from '@eelgrassmux/consensus/RaftCore'
import type { RaftStorage } from '@eelgrassmux/durable/RaftStorage'
import { DEFAULT_STATE_SETTINGS, StateMachine } from '@eelgrassmux/state/StateMachine'
import { RaftTask } from './RaftTask.js'

describe('RaftTask', () => {
  it('closes its disk only when the write under way is done', async () => {
    const order: string[] = []
    let finishWrite = (): void => {}
    const began = new Promise<void>(resolve => {
      finishWrite = resolve
    })
    let isWriting = (): void => {}
    const writing = new Promise<void>(resolve => { isWriting = resolve })
    const storage = {
      persist: async () => {
        isWriting()
        await began
        order.push('written')
      },
      close: async () => { order.push('closed') }
    } as unknown as RaftStorage
    const self = { id: 'a', address: 'a' }
    const core = new RaftCore(self, { term: 0, votedFor: undefined, snapshot: undefined, entries: [] }, DEFAULT_RAFT_SETTINGS, () => 0, 0)
    const task = new RaftTask(core, storage, new StateMachine(DEFAULT_STATE_SETTINGS), {
      send: () => {}, applied: () => {}, roleChanged: () => {}, fail: error => { throw error }
    }, Date.now)
    const change = task.change((group, now) => ({ ok: true, value: group.bootstrap(now) }))
    void change
    await writing
    const closing = task.close()
    await new Promise(resolve => setImmediate(resolve))
    finishWrite()
    await closing
    expect(order).toEqual(['written', 'closed'])
  })
})
