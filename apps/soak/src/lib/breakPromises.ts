/** Breaks a process on purpose: it believes statements that may belong to other sends, answers connection errors as Node does by default, ends by itself, or holds ever more memory. */
import { Server } from 'node:http'
import { ResponseAttribution, type AttributedHead } from '@eelgrassmux/routing/attempts/ResponseAttribution'

/** Takes a response for the one to the last request unless it has another id. */
export function believeStatements (): void {
  ResponseAttribution.prototype.mayCarry = () => true
  ResponseAttribution.prototype.attribute = (requestId: string, head: AttributedHead) => head.requestId === undefined || head.requestId === requestId ? undefined : 'another id'
}

/** Ignores handlers of connection errors in all HTTP servers of this process. */
export function answerConnectionErrors (): void {
  const on = Server.prototype.on as (this: Server, event: string, listener: (...args: unknown[]) => void) => Server
  Server.prototype.on = function (this: Server, event: string, listener: (...args: unknown[]) => void): Server {
    return event === 'clientError' ? this : on.call(this, event, listener)
  } as Server['on']
}

/** Time after which a process ends by itself, in milliseconds. */
const END_AFTER_MS = 3000

/** Ends this process as if its work were done, although nobody has told it to. */
export function endSoon (): void {
  setTimeout(() => { process.exit(0) }, END_AFTER_MS)
}

/** Memory that a process takes up at each interval, and the interval in milliseconds. */
const HOARDED_BYTES = 4_000_000
const HOARD_INTERVAL_MS = 100

/** Takes up more and more memory in this process. */
export function hoardMemory (): void {
  const hoard: Buffer[] = []
  setInterval(() => { hoard.push(Buffer.alloc(HOARDED_BYTES, 1)) }, HOARD_INTERVAL_MS)
}
