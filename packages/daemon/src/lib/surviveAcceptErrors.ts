/** Errors while a listening server accepts connections, such as a lack of memory or of descriptors. They pass, so the process goes on. */
import type { Server } from 'node:net'
import type { Telemetry } from '@eelgrassmux/telemetry/Telemetry'

/** Shortest time between two log lines of one server, in milliseconds. */
const LOG_INTERVAL_MS = 10_000

/**
 * Logs the errors of a server from when it listens; errors of listening itself stay with whoever opens the port.
 *
 * @param server - server, which may listen already
 * @param telemetry - log
 * @param name - purpose of the port, for the log
 */
export function surviveAcceptErrors (server: Server, telemetry: Pick<Telemetry, 'logFault'>, name: string): void {
  let errors = 0
  let loggedAt = Number.NEGATIVE_INFINITY
  const note = (error: NodeJS.ErrnoException): void => {
    errors += 1
    const now = performance.now()
    if (now - loggedAt < LOG_INTERVAL_MS) return
    loggedAt = now
    telemetry.logFault('accept-failed', { port: name, code: error.code ?? '', errors })
  }
  if (server.listening) server.on('error', note)
  else server.once('listening', () => { server.on('error', note) })
}
