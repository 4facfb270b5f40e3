/** Gives the connections of one process an address of their own, as if it ran on its own machine. */
import { Socket, type TcpSocketConnectOpts } from 'node:net'

const LOOPBACK = /^127\./

/** Addresses of entry hosts; see `addressOfEntry`. */
const ENTRY_HOST = /^127\.0\.1\./

/** A port on which nothing listens. */
const CLOSED_PORT = 1

/**
 * @param host - loopback address from which this process connects to other loopback addresses
 * @param reachesEntryHosts - whether connections to other entry hosts are possible
 */
export function bindOutgoingConnections (host: string, reachesEntryHosts: boolean): void {
  const connect = Socket.prototype.connect as (this: Socket, ...args: unknown[]) => Socket
  Socket.prototype.connect = function (this: Socket, ...args: unknown[]): Socket {
    // Node passes the arguments of `net.connect` on as one list, whose first entry holds the options.
    const first: unknown = args[0]
    const options = (Array.isArray(first) ? first[0] : first) as { -readonly [Key in keyof TcpSocketConnectOpts]?: TcpSocketConnectOpts[Key] } | undefined
    if (typeof options === 'object' && LOOPBACK.test(options.host ?? '')) {
      options.localAddress ??= host
      if (!reachesEntryHosts && ENTRY_HOST.test(options.host ?? '')) options.port = CLOSED_PORT
    }
    return connect.apply(this, args)
  } as Socket['connect']
}
