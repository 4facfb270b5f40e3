import type { Telemetry } from './Telemetry.js'

/**
 * Logs and counts connections between hosts that were replaced because they carried nothing any more.
 *
 * @param telemetry - log and metrics of the process
 * @returns a function to call with the address of each such connection
 */
export function reportSilentConnections (telemetry: Telemetry): (address: string) => void {
  const replaced = telemetry.labelledCounter('silent_connections_total', 'Connections to other hosts that were replaced because they carried nothing any more')
  return address => {
    replaced.count('unanswered')
    telemetry.logStateChange('connection-silent', { address })
  }
}
