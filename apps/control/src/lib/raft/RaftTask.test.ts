import { describe, expect, it } from 'vitest'
import { RaftCore } from '@eelgrassmux/consensus/RaftCore'
import { DEFAULT_RAFT_SETTINGS } from '@eelgrassmux/consensus/RaftSettings'
import type { RaftStorage } from '@eelgrassmux/durable/RaftStorage'
import { InvariantViolation } from '@eelgrassmux/schema/invariant'
import type { Command } from '@eelgrassmux/state/commands'
import { DEFAULT_STATE_SETTINGS, StateMachine } from '@eelgrassmux/state/StateMachine'
import type { CommandDecision } from './DecisionNotifier.js'
import { RaftTask } from './RaftTask.js'

const COMMAND: Command = { kind: 'name-weights', model: 'base', version: 1 }

/** One-time signal that a test or its storage can wait for. */
class Signal {
  readonly raised: Promise<void>
  #resolve = (): void => {}

  constructor () {
    this.raised = new Promise(resolve => { this.#resolve = resolve })
  }

  raise (): void {
    this.#resolve()
  }
}

/** Records the decisions and failures that a task reports. */
class DecisionRecorder {
  readonly decisions: CommandDecision[] = []
  readonly failures: unknown[] = []
  readonly lostWhileClosing: unknown[] = []
}

function newTask (persist: () => Promise<void>, close: () => Promise<void>, minimumVoters: number, recorder = new DecisionRecorder(), disk = { isDiskRefusing: false }): RaftTask {
  const storage = { persist, close, stopWaiting: () => {}, get isDiskRefusing () { return disk.isDiskRefusing } } as unknown as RaftStorage
  const core = new RaftCore(
    { id: 'a', address: 'a' }, { term: 0, votedFor: undefined, snapshot: undefined, entries: [] }, { ...DEFAULT_RAFT_SETTINGS, minimumVoters }, () => 0, 0
  )
  return new RaftTask(core, storage, new StateMachine(DEFAULT_STATE_SETTINGS), {
    send: () => {},
    applied: () => {},
    roleChanged: () => {},
    commandDecided: decision => { recorder.decisions.push(decision) },
    lostWhileClosing: error => { recorder.lostWhileClosing.push(error) },
    fail: error => { recorder.failures.push(error) }
  }, Date.now)
}

const noop = async (): Promise<void> => {}

describe('RaftTask', () => {
  it('closes its storage only after the write in progress has completed', async () => {
    const order: string[] = []
    const writing = new Signal()
    const mayWrite = new Signal()
    const task = newTask(async () => {
      writing.raise()
      await mayWrite.raised
      order.push('written')
    }, async () => { order.push('closed') }, 1)
    void task.change((group, now) => ({ ok: true, value: group.bootstrap(now) }))
    await writing.raised
    const closing = task.close()
    await new Promise(resolve => setImmediate(resolve))
    mayWrite.raise()
    await closing
    expect(order).toEqual(['written', 'closed'])
  })

  // Guards against operators that get no answer while a disk refuses writes, and can't know whether their command is applied later.
  it('rejects commands and reads at once while the disk refuses writes', async () => {
    const writing = new Signal()
    const mayWrite = new Signal()
    const disk = { isDiskRefusing: false }
    const task = newTask(async () => {
      disk.isDiskRefusing = true
      writing.raise()
      await mayWrite.raised
      disk.isDiskRefusing = false
    }, noop, 1, undefined, disk)
    void task.change((group, now) => ({ ok: true, value: group.bootstrap(now) }))
    await writing.raised
    expect(await task.propose(COMMAND)).toEqual({ kind: 'not-leader', leader: '' })
    expect(await task.confirmRead()).toBe(false)
    mayWrite.raise()
    await task.close()
  })

  describe('when a write fails', () => {
    /** Founds a group on a storage with a blocked write, optionally starts to close the task, and then makes the write fail. */
    async function failWrite (error: Error, isClosing: boolean): Promise<DecisionRecorder> {
      const recorder = new DecisionRecorder()
      const writing = new Signal()
      const mayFail = new Signal()
      const task = newTask(async () => {
        writing.raise()
        await mayFail.raised
        throw error
      }, noop, 1, recorder)
      void task.change((group, now) => ({ ok: true, value: group.bootstrap(now) }))
      await writing.raised
      const closing = isClosing ? task.close() : undefined
      mayFail.raise()
      await new Promise(resolve => setImmediate(resolve))
      await (closing ?? task.close())
      return recorder
    }

    it('stops the process', async () => {
      const error = new Error('the disk is full')
      expect(await failWrite(error, false)).toEqual({ decisions: [], failures: [error], lostWhileClosing: [] })
    })

    it('reports the failure and continues to close if the task is closing, because nothing that depends on the write was acknowledged', async () => {
      const error = new Error('the disk is gone')
      expect(await failWrite(error, true)).toEqual({ decisions: [], failures: [], lostWhileClosing: [error] })
    })

    it('stops the process for an invariant violation even while it is closing', async () => {
      const error = new InvariantViolation('storage-open', 'write after close')
      expect(await failWrite(error, true)).toEqual({ decisions: [], failures: [error], lostWhileClosing: [] })
    })
  })

  describe('in a group that is still forming', () => {
    it('refuses a command that is proposed before the election of the founder and processed after it', async () => {
      const recorder = new DecisionRecorder()
      const task = newTask(noop, noop, 5, recorder)
      const founded = task.change((group, now) => ({ ok: true, value: group.bootstrap(now) }))
      const elected = task.change((group, now) => ({ ok: true, value: group.tick(now) }))
      expect(task.core.role).toBe('follower')
      const outcome = await task.propose(COMMAND)
      await Promise.all([founded, elected])
      await task.close()
      expect(task.core.role).toBe('leader')
      expect(outcome).toEqual({ kind: 'not-leader', leader: '' })
      expect(task.state.sites.weights).toEqual([])
      expect(recorder.decisions).toMatchObject([{ isTaken: false, formation: { isFormed: false, voters: 1, needed: 5, membershipIndex: 1 } }])
    })

    it('reports a decision once, and again when the membership has changed', async () => {
      const recorder = new DecisionRecorder()
      const task = newTask(noop, noop, 5, recorder)
      await task.change((group, now) => ({ ok: true, value: group.bootstrap(now) }))
      await task.change((group, now) => ({ ok: true, value: group.tick(now) }))
      await task.propose(COMMAND)
      await task.propose(COMMAND)
      expect(recorder.decisions).toHaveLength(1)
      await task.change((group, now) => group.addLearner({ id: 'b', address: 'b' }, now))
      await task.propose(COMMAND)
      await task.close()
      expect(recorder.decisions.map(({ isTaken, formation }) => [isTaken, formation.membershipIndex])).toEqual([[false, 1], [false, 3]])
    })

    it('accepts a command in a group that needs only one voter', async () => {
      const recorder = new DecisionRecorder()
      const task = newTask(noop, noop, 1, recorder)
      await task.change((group, now) => ({ ok: true, value: group.bootstrap(now) }))
      await task.change((group, now) => ({ ok: true, value: group.tick(now) }))
      expect(await task.propose(COMMAND)).toMatchObject({ kind: 'applied' })
      await task.close()
      expect(recorder.decisions).toMatchObject([{ isTaken: true, formation: { voters: 1, needed: 1 } }])
    })
  })
})
