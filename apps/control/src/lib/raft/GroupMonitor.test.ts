import { describe, expect, it } from 'vitest'
import type { PeerReport } from '@eelgrassmux/consensus/PeerProgressTable'
import { DEFAULT_RAFT_SETTINGS } from '@eelgrassmux/consensus/RaftSettings'
import type { Replica } from '@eelgrassmux/consensus/messages/raftMessages'
import { GroupMonitor } from './GroupMonitor.js'

const [A, B, C]: Replica[] = ['a', 'b', 'c'].map(id => ({ id, address: `host-${id}` }))

interface Line { readonly event: string, readonly fields: Record<string, unknown> }

class Observed {
  readonly lines: Line[] = []
  readonly core = {
    role: 'leader' as const,
    term: 3,
    lastIndex: 100,
    leader: A,
    membership: { voters: [A, B, C] as Replica[], learners: [] },
    silentVoters: [] as Replica[],
    peerReports: [] as PeerReport[],
    settings: DEFAULT_RAFT_SETTINGS
  }

  readonly monitor = new GroupMonitor(this.core as never, { logStateChange: (event: string, fields: unknown) => { this.lines.push({ event, fields: fields as Record<string, unknown> }) } } as never)

  check (fromMs: number, toMs: number): void {
    for (let now = fromMs; now <= toMs; now += 100) this.monitor.check(now)
  }
}

describe('GroupMonitor', () => {
  it('reports a peer that stays behind with what was sent to it, and when it has caught up', () => {
    const observed = new Observed()
    observed.core.peerReports = [{ replica: B as Replica, matchIndex: 10, sentBytes: 5000, rejections: 7 }]
    observed.check(0, 1000)
    observed.core.peerReports = [{ replica: B as Replica, matchIndex: 100, sentBytes: 6000, rejections: 7 }]
    observed.check(1100, 1100)
    expect(observed.lines).toEqual([
      { event: 'peer-behind', fields: { replica: 'b', matchIndex: 10, lastIndex: 100, sentBytes: 5000, rejections: 7, forMs: 500 } },
      { event: 'peer-caught-up', fields: { replica: 'b', matchIndex: 100, lastIndex: 100, sentBytes: 6000, rejections: 7, forMs: 1100 } }
    ])
  })

  it('reports a group without a leader with the voters that are silent or were replaced', () => {
    const observed = new Observed()
    Object.assign(observed.core, { role: 'pre-candidate', leader: undefined, silentVoters: [C] })
    observed.monitor.observeSender({ id: 'b-rebuilt', address: 'host-b' })
    observed.check(0, 1600)
    expect(observed.monitor.leaderlessMs(1600)).toBe(1600)
    Object.assign(observed.core, { leader: A })
    observed.check(1700, 1700)
    expect(observed.lines).toEqual([
      { event: 'group-undecided', fields: { role: 'pre-candidate', term: 3, lastIndex: 100, voters: 3, silent: 'host-c', replaced: 'host-b', forMs: 1500 } },
      { event: 'group-decides', fields: { leader: 'host-a', term: 3, afterMs: 1700 } }
    ])
    expect(observed.monitor.leaderlessMs(1700)).toBe(0)
  })
})
