/** Opens ports that another process may still hold. */
import { StartStopped, type StartWaits } from './StartWaits.js'

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

/** A server that may not listen yet. */
export interface BackgroundListener {
  /** Closes the server if it listens, or ends the wait for its port. Must be called after a signal to stop. */
  close (): Promise<void>
}

/**
 * Listens on a port as soon as it is free, without holding up the start: the process serves its other ports, and stops gracefully.
 *
 * @param waits - waits of the process
 * @param port - purpose and address of the port, for the log
 * @param listen - tries to open the port; leaves nothing open if it rejects
 * @param fail - called with an error that can't pass
 * @returns the server
 */
export function listenInBackground (waits: StartWaits, port: string, listen: () => Promise<{ close (): Promise<void> }>, fail: (error: unknown) => void): BackgroundListener {
  const opening = listenWhenFree(waits, port, listen).catch((error: unknown) => {
    if (!(error instanceof StartStopped)) fail(error)
    return undefined
  })
  return { close: async () => { await (await opening)?.close() } }
}
