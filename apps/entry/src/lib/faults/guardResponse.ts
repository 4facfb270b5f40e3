import type { ResponseHandler } from '../routed/EndpointConnection.js'
import type { FaultBoundary } from './RequestFaults.js'

/**
 * @param steps - boundary of the request
 * @param handler - receives the response to the request
 * @returns the handler, within the boundary
 */
export function guardResponse (steps: FaultBoundary, handler: ResponseHandler): ResponseHandler {
  return {
    sending: () => steps.run(() => handler.sending(), false),
    head: steps.guard((status, headers, resume) => { handler.head(status, headers, resume) }),
    data: chunk => steps.run(() => handler.data(chunk), true),
    complete: steps.guard(() => { handler.complete() }),
    failed: steps.guard(error => { handler.failed(error) })
  }
}
