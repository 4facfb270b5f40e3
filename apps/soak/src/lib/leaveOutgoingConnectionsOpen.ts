/** Breaks a process on purpose: it never closes a connection that it has opened, and goes on reading what comes. */
import { Socket } from 'node:net'

/** Ignores all requests of this process to close a connection to an endpoint. */
export function leaveOutgoingConnectionsOpen (): void {
  const destroy = Socket.prototype.destroy as (this: Socket, error?: Error) => Socket
  Socket.prototype.destroy = function (this: Socket, error?: Error): Socket {
    // Endpoints are behind proxies at the first loopback address; an error or the end of the connection comes from the other side.
    const isOpenToEndpoint = this.remoteAddress === '127.0.0.1' && !this.readableEnded && this.errored === null
    if (!isOpenToEndpoint) return destroy.call(this, error)
    this.removeAllListeners('readable')
    this.resume()
    return this
  } as Socket['destroy']
}
