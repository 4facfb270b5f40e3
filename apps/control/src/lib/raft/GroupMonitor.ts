/** Reports peers that lag behind the leader, and a group that has no leader, once it lasts. */
import type { RaftCore } from '@eelgrassmux/consensus/RaftCore'
import type { PeerReport } from '@eelgrassmux/consensus/PeerProgressTable'
import type { Replica } from '@eelgrassmux/consensus/messages/raftMessages'
import type { Telemetry } from '@eelgrassmux/telemetry/Telemetry'

/** Interval between checks, in milliseconds. */
export const MONITOR_INTERVAL_MS = 100

/** How long a peer lags before it is reported, and the interval of further reports, in milliseconds. */
const BEHIND_REPORT_MS = 500
const BEHIND_REPEAT_MS = 2000

/** How long there is no leader before it is reported, and the interval of further reports, in milliseconds. */
const UNDECIDED_REPORT_MS = 1500
const UNDECIDED_REPEAT_MS = 5000

/** A condition that is reported when it has lasted for a while, and again at intervals. */
class LastingCondition {
  readonly #since: number
  #nextReportAt: number

  constructor (now: number, reportMs: number, private readonly repeatMs: number) {
    this.#since = now
    this.#nextReportAt = now + reportMs
  }

  #wasReported = false
  get wasReported (): boolean { return this.#wasReported }

  forMs (now: number): number { return Math.round(now - this.#since) }

  isReportDue (now: number): boolean {
    if (now < this.#nextReportAt) return false
    this.#nextReportAt = now + this.repeatMs
    this.#wasReported = true
    return true
  }
}

/** Observes one replica. */
export class GroupMonitor {
  readonly #peersBehind = new Map<string, LastingCondition>()
  /** Id of the replica last seen at each address. */
  readonly #idsByAddress = new Map<string, string>()
  #leaderless: LastingCondition | undefined

  /**
   * @param core - replica of this host
   * @param telemetry - log
   */
  constructor (
    private readonly core: Pick<RaftCore, 'role' | 'term' | 'leader' | 'lastIndex' | 'membership' | 'peerReports' | 'silentVoters' | 'settings'>,
    private readonly telemetry: Pick<Telemetry, 'logStateChange'>
  ) {}

  /** Number of peers that lag behind this leader; 0 on other replicas. */
  get peersBehind (): number { return this.#peersBehind.size }

  /**
   * @param now - monotonic milliseconds
   * @returns how long this replica has known no leader, in milliseconds
   */
  leaderlessMs (now: number): number { return this.#leaderless?.forMs(now) ?? 0 }

  /** @param replica - sender of a message, with the id that the disk at its address has now */
  observeSender ({ id, address }: Replica): void {
    this.#idsByAddress.set(address, id)
  }

  /** @param now - monotonic milliseconds */
  check (now: number): void {
    this.#checkPeers(now)
    this.#checkLeader(now)
  }

  #checkPeers (now: number): void {
    const { peerReports, lastIndex, settings } = this.core
    for (const id of this.#peersBehind.keys()) {
      if (!peerReports.some(({ replica }) => replica.id === id)) this.#peersBehind.delete(id)
    }
    for (const report of peerReports) {
      const { id } = report.replica
      const condition = this.#peersBehind.get(id) ?? new LastingCondition(now, BEHIND_REPORT_MS, BEHIND_REPEAT_MS)
      if (lastIndex - report.matchIndex > settings.promotionLag) {
        this.#peersBehind.set(id, condition)
        if (condition.isReportDue(now)) this.telemetry.logStateChange('peer-behind', this.#describe(report, condition.forMs(now)))
      } else if (this.#peersBehind.delete(id)) {
        this.telemetry.logStateChange('peer-caught-up', this.#describe(report, condition.forMs(now)))
      }
    }
  }

  #describe ({ replica, matchIndex, sentBytes, rejections }: PeerReport, forMs: number): { replica: string, matchIndex: number, lastIndex: number, sentBytes: number, rejections: number, forMs: number } {
    return { replica: replica.id, matchIndex, lastIndex: this.core.lastIndex, sentBytes, rejections, forMs }
  }

  #checkLeader (now: number): void {
    const { leader, role, term, lastIndex, membership, silentVoters } = this.core
    if (leader !== undefined) {
      const ended = this.#leaderless
      this.#leaderless = undefined
      if (ended?.wasReported === true) this.telemetry.logStateChange('group-decides', { leader: leader.address, term, afterMs: ended.forMs(now) })
      return
    }
    this.#leaderless ??= new LastingCondition(now, UNDECIDED_REPORT_MS, UNDECIDED_REPEAT_MS)
    if (!this.#leaderless.isReportDue(now)) return
    const replaced = membership.voters.filter(({ id, address }) => (this.#idsByAddress.get(address) ?? id) !== id)
    this.telemetry.logStateChange('group-undecided', {
      role, term, lastIndex, voters: membership.voters.length, silent: addresses(silentVoters), replaced: addresses(replaced), forMs: this.#leaderless.forMs(now)
    })
  }
}

function addresses (replicas: readonly Replica[]): string {
  return replicas.map(({ address }) => address).join(' ')
}
