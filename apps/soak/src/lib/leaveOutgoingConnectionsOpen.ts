/** Breaks a process on purpose: it never closes a connection that it has opened, and goes on reading what comes. */
import { Socket } from 'node:net'

/**
 * Ignores all requests of this process to close a connection to an endpoint.
 *
 * @param others - addresses of other processes, to which connections are closed as usual
 */
export function leaveOutgoingConnectionsOpen (others: readonly string[]): void {
  const outgoing = new WeakSet<Socket>()
  const connect = Socket.prototype.connect as (this: Socket, ...args: unknown[]) => Socket
  Socket.prototype.connect = function (this: Socket, ...args: unknown[]): Socket {
    outgoing.add(this)
    return connect.apply(this, args)
  } as Socket['connect']
  const destroy = Socket.prototype.destroy as (this: Socket, error?: Error) => Socket
  Socket.prototype.destroy = function (this: Socket, error?: Error): Socket {
    // Endpoints are behind proxies at the first loopback address; an error or the end of the connection comes from the other side.
    const isEndpoint = outgoing.has(this) && this.remoteAddress === '127.0.0.1' && !others.includes(`${this.remoteAddress}:${this.remotePort ?? 0}`)
    if (!isEndpoint || this.readableEnded || this.errored !== null) return destroy.call(this, error)
    this.removeAllListeners('readable')
    this.resume()
    return this
  } as Socket['destroy']
}
