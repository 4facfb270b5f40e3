/**
 * Reads the sockets of streams that have begun together, a dozen times a second.
 *
 * Answers the load of many streams with small events: each event that arrives alone wakes the process, and most
 * of what an event costs is the wake-up. A stream's first event is never held; later ones wait for
 * the next common reading, which is a fraction of the pause that its route allows.
 */
import type { Socket } from 'node:net'

/** Interval of common readings, in milliseconds. */
export const GATHER_MS = 80

/** Routes that allow shorter pauses are read at once, in milliseconds. */
export const LEAST_PAUSE_TO_GATHER_MS = 3 * GATHER_MS

/** The part of a socket's handle that starts and stops reading; sockets offer no other way to leave bytes in the system. */
interface ReadableHandle {
  reading: boolean
  readStart (): unknown
  readStop (): unknown
}

/** Sockets of one process that are read together. */
export class GatheredReads {
  readonly #held = new Set<Socket>()
  #timer: NodeJS.Timeout | undefined

  /** Sockets that wait for the next reading. */
  get size (): number { return this.#held.size }

  /**
   * Leaves what arrives in the system until the next reading. Call after each piece that was read.
   *
   * @param socket - of a stream that has begun
   */
  hold (socket: Socket): void {
    const handle = handleOf(socket)
    if (handle === undefined || this.#held.has(socket)) return
    handle.reading = false
    handle.readStop()
    this.#held.add(socket)
    this.#timer ??= setTimeout(() => { this.#readAll() }, GATHER_MS)
  }

  /**
   * Reads at once from now on.
   *
   * @param socket - held or not
   */
  release (socket: Socket): void {
    if (this.#held.delete(socket)) start(socket)
  }

  #readAll (): void {
    this.#timer = undefined
    const sockets = [...this.#held]
    this.#held.clear()
    for (const socket of sockets) start(socket)
  }
}

function start (socket: Socket): void {
  const handle = handleOf(socket)
  if (handle === undefined) return
  handle.reading = true
  handle.readStart()
}

function handleOf (socket: Socket): ReadableHandle | undefined {
  const { _handle: handle } = socket as unknown as { readonly _handle?: ReadableHandle | null }
  return socket.destroyed || handle === null || handle === undefined ? undefined : handle
}
