/** Tracks the hosts that report to this control host and the age of their reports. */
import type { HostReport, HostStatus } from '@eelgrassmux/rpc/methods/controlMethods'

/** Age at which a report is discarded, in milliseconds. */
const REPORT_EXPIRY_MS = 60_000

/** Interval between searches for expired reports, in milliseconds. With 340 hosts, a search at each report would cost more than handling the report. */
const EXPIRY_CHECK_INTERVAL_MS = 1000

/** Maximum number of entry hosts that notify each other of every dispatch. The number of messages grows with the square of the number of hosts. */
const MAX_PEER_GROUP_SIZE = 16

interface ReportedHost {
  readonly report: HostStatus
  readonly reportedAt: number
}

/** Holds the last report of each host. */
export class HostTable {
  readonly #hosts = new Map<string, ReportedHost>()
  #lastExpiryCheckAt = Number.NEGATIVE_INFINITY

  /** @param freshnessMs - time for which a host may act on its last confirmed view */
  constructor (private readonly freshnessMs: number) {}

  /**
   * @param report - report of a host
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
   * Counts the entry hosts that may still admit requests. A host that has stopped
   * reporting counts until its lease has certainly expired, so that the shares of
   * all hosts never add up to more than one.
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
   * Returns the peer addresses of live entry hosts, which notify each other of dispatches.
   *
   * @param now - monotonic milliseconds
   * @returns the addresses; empty if there are more than {@link MAX_PEER_GROUP_SIZE} hosts
   */
  entryPeers (now: number): string[] {
    const entries = this.#live(now).filter(report => report.role === 'entry')
    return entries.length > MAX_PEER_GROUP_SIZE ? [] : entries.map(report => report.address)
  }

  /**
   * @param now - monotonic milliseconds
   * @returns addresses of the live entry hosts that accept requests
   */
  acceptingEntries (now: number): string[] {
    return this.#live(now).filter(report => report.role === 'entry' && report.accepting).map(report => report.address)
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
   * @returns all reports with their ages
   */
  reports (now: number): HostReport[] {
    return [...this.#hosts.values()].map(({ report, reportedAt }) => ({ ...report, ageMs: now - reportedAt }))
  }

  #live (now: number): HostStatus[] {
    return [...this.#hosts.values()].filter(({ reportedAt }) => now - reportedAt <= this.freshnessMs).map(({ report }) => report)
  }
}
