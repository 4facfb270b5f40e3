/** Hosts that report to this control host, and how long ago. */
import type { HostReport, HostStatus } from '@eelgrassmux/rpc/methods/controlMethods'

/** Reports older than this are forgotten, in milliseconds. */
const REPORT_EXPIRY_MS = 60_000

/** Interval between looks for such reports, in milliseconds: looked through with each of 340 hosts' reports they would cost more than those. */
const EXPIRY_CHECK_INTERVAL_MS = 1000

/** Most entry hosts that tell each other of every dispatch: the messages grow with the square of their number. */
const MAX_PEER_GROUP_SIZE = 16

interface ReportedHost {
  readonly report: HostStatus
  readonly reportedAt: number
}

/** Last report of each host. */
export class HostTable {
  readonly #hosts = new Map<string, ReportedHost>()
  #lastExpiryCheckAt = Number.NEGATIVE_INFINITY

  /** @param freshnessMs - time for which a host may act on what it last confirmed */
  constructor (private readonly freshnessMs: number) {}

  /**
   * @param report - a host's report
   * @param now - monotonic milliseconds
   */
  observe (report: HostStatus, now: number): void {
    this.#hosts.set(`${report.role}/${report.host}`, { report, reportedAt: now })
    if (now - this.#lastExpiryCheckAt < EXPIRY_CHECK_INTERVAL_MS) return
    this.#lastExpiryCheckAt = now
    for (const [name, { reportedAt }] of this.#hosts) {
      if (now - reportedAt > REPORT_EXPIRY_MS) this.#hosts.delete(name)
    }
  }

  /**
   * Entry hosts that may still admit requests. One that fell silent counts until
   * its lease has surely ended, so that the shares never add up to more than one.
   *
   * @param now - monotonic milliseconds
   */
  liveEntries (now: number): number {
    let count = 0
    for (const { report, reportedAt } of this.#hosts.values()) {
      if (report.role === 'entry' && now - reportedAt <= this.freshnessMs) count += 1
    }
    return count
  }

  /**
   * Peer addresses of live entry hosts, for telling each other of dispatches.
   *
   * @param now - monotonic milliseconds
   * @returns the addresses; empty when the hosts are too many for that
   */
  entryPeers (now: number): string[] {
    const entries = this.#live(now).filter(report => report.role === 'entry')
    return entries.length > MAX_PEER_GROUP_SIZE ? [] : entries.map(report => report.address)
  }

  /**
   * @param now - monotonic milliseconds
   * @returns addresses of directories that may own shards
   */
  liveDirectories (now: number): string[] {
    const directories = this.#live(now).filter(report => report.role === 'directory' && report.accepting)
    return directories.map(report => report.address).sort()
  }

  /**
   * @param now - monotonic milliseconds
   * @returns all reports with their age
   */
  reports (now: number): HostReport[] {
    return [...this.#hosts.values()].map(({ report, reportedAt }) => ({ ...report, ageMs: now - reportedAt }))
  }

  #live (now: number): HostStatus[] {
    return [...this.#hosts.values()].filter(({ reportedAt }) => now - reportedAt <= this.freshnessMs).map(({ report }) => report)
  }
}
