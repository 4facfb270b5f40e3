/** Breaks a process on purpose: it reads the requests of a crowd, and refuses most of them. */
import { Server, type IncomingMessage, type ServerResponse } from 'node:http'

/** Requests at the same time beyond which all are refused; a host that has its share has fewer. */
const MAX_PENDING_REQUESTS = 20

/** Refuses requests to all HTTP servers of this process while too many are pending. */
export function refuseCrowds (): void {
  let pending = 0
  const emit = Server.prototype.emit as (this: Server, event: string, ...args: unknown[]) => boolean
  Server.prototype.emit = function (this: Server, event: string, ...args: unknown[]): boolean {
    if (event !== 'request') return emit.call(this, event, ...args)
    const [request, response] = args as [IncomingMessage, ServerResponse]
    if (pending >= MAX_PENDING_REQUESTS && request.method === 'POST') {
      response.writeHead(503, { 'retry-after': '1' }).end()
      return true
    }
    pending += 1
    response.once('close', () => { pending -= 1 })
    return emit.call(this, event, ...args)
  }
}
