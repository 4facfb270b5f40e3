/** Decides whether a host refuses new connections because it has far more than its share of the requests of all hosts. */

/** Requests below which a host takes all connections, whatever the others have. */
const MIN_REQUESTS = 24

/** Multiple of the mean load from which a host takes no further connections; some hosts always have more than others. */
const MAX_SHARE = 3

/** The same while the host does not keep up with its sockets. */
const MAX_SHARE_WHILE_LAGGING = 1.25

/** Load of a host and of the others. */
export interface HostShare {
  /** Requests of this host that have not ended. */
  readonly ownRequests: number
  /** Requests of all other hosts at endpoints; undefined if they are not known. */
  readonly otherRequests: number | undefined
  readonly liveHosts: number
  /** Whether this host does not keep up with its sockets. */
  readonly isLagging: boolean
}

/**
 * A connection that is closed unread costs its caller a few milliseconds: the next attempt meets another host. On a host
 * that takes more than it can serve, all requests are late, those on older connections included.
 *
 * @param share - load of the hosts
 * @returns whether new connections are to be closed unread
 */
export function isOverShare ({ ownRequests, otherRequests, liveHosts, isLagging }: HostShare): boolean {
  if (otherRequests === undefined || liveHosts < 2 || ownRequests < MIN_REQUESTS) return false
  const meanRequests = (ownRequests + otherRequests) / liveHosts
  return ownRequests > meanRequests * (isLagging ? MAX_SHARE_WHILE_LAGGING : MAX_SHARE)
}
