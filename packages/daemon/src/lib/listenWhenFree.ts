/** Opens ports that another process may still hold. */
import type { StartWaits } from './StartWaits.js'

/** The port is taken, or the machine's address is not configured yet. All other errors need other settings. */
const PASSING_CODES: ReadonlySet<unknown> = new Set(['EADDRINUSE', 'EADDRNOTAVAIL'])

/**
 * Listens on a port as soon as it is free.
 *
 * @param waits - waits of the process
 * @param port - purpose and address of the port, for the log
 * @param listen - tries to open the port; leaves nothing open if it rejects
 * @returns result of `listen`
 * @throws StartStopped if a signal to stop arrives during the wait, or an error that can't pass, such as a missing permission
 */
export async function listenWhenFree<Result> (waits: StartWaits, port: string, listen: () => Promise<Result>): Promise<Result> {
  return await waits.until(port, listen, error => error instanceof Error && 'code' in error && PASSING_CODES.has(error.code))
}
