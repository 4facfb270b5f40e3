import { describe, expect, it } from 'vitest'
import type { RaftMessage } from '@eelgrassmux/consensus/messages/raftMessages'
import { RaftSender } from './RaftSender.js'

const header = { from: 'a', term: 3 }
const append = (entries: Extract<RaftMessage, { kind: 'append-request' }>['entries']): RaftMessage =>
  ({ kind: 'append-request', ...header, previousIndex: 1, previousTerm: 1, entries, commitIndex: 1, sentAt: 0 })

/** @returns `datagram` or `call`, depending on how the message was sent */
function transportOf (message: RaftMessage): string {
  const transports: string[] = []
  const sender = new RaftSender(
    { tell: () => { transports.push('datagram') } },
    {
      call: async () => {
        transports.push('call')
        return { ok: false, error: { kind: 'unreachable', address: 'b', detail: '' } } as never
      }
    },
    () => {})
  sender.send('b', { from: { id: 'a', address: 'a' }, to: 'b', message }, () => {})
  return transports.join(' ')
}

describe('RaftSender', () => {
  it('sends messages that are repeated after a loss as datagrams', () => {
    expect(transportOf(append([]))).toBe('datagram')
    expect(transportOf({ kind: 'append-response', ...header, success: true, matchIndex: 1, sentAt: 0 })).toBe('datagram')
    expect(transportOf({ kind: 'vote-request', ...header, preVote: true, lastIndex: 1, lastTerm: 1, transfer: false })).toBe('datagram')
  })

  it('sends messages that are long or are not repeated as calls', () => {
    expect(transportOf(append([{ kind: 'command', index: 2, term: 3, command: new Uint8Array(10) }]))).toBe('call')
    expect(transportOf({ kind: 'snapshot-request', ...header, sentAt: 0, snapshot: { index: 1, term: 1, membership: { voters: [], learners: [] }, state: new Uint8Array(1) } })).toBe('call')
    expect(transportOf({ kind: 'timeout-now', ...header })).toBe('call')
  })

  it('reports the reason of a failed call, and that the message was not delivered', async () => {
    const reasons: string[] = []
    const outcomes: boolean[] = []
    const sender = new RaftSender({ tell: () => {} }, { call: async () => ({ ok: false, error: { kind: 'unreachable', address: 'b', detail: '' } }) as never }, reason => { reasons.push(reason) })
    sender.send('b', { from: { id: 'a', address: 'a' }, to: 'b', message: { kind: 'timeout-now', ...header } }, isDelivered => { outcomes.push(isDelivered) })
    await Promise.resolve()
    expect(reasons).toEqual(['unreachable'])
    expect(outcomes).toEqual([false])
  })
})
