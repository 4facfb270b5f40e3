/** Bounds the open connections of callers, each of which occupies memory and a file descriptor. */
import type { Socket } from 'node:net'
import { entryMemoryBudget } from '@eelgrassmux/daemon/MemoryBudget'
import type { LabelledCounter, Telemetry } from '@eelgrassmux/telemetry/Telemetry'

/** Part of the open files that callers' connections may be; connections to endpoints need as many as there are requests, other files need few. */
const FILES_SHARE = 1 / 2

/** Time for which an idle connection is kept in any case, in milliseconds: its next request, or its first one, may be on its way. */
const MIN_IDLE_MS = 1000

/**
 * @param memoryMb - memory of the host in megabytes; 0 if it is not known
 * @param openFiles - most open files and connections of the process
 * @returns most open connections of callers
 */
export function callerConnectionsBound (memoryMb: number, openFiles: number): number {
  return Math.floor(Math.min(entryMemoryBudget(memoryMb).connections, openFiles * FILES_SHARE))
}

/** The open connections of callers to this host. */
export class CallerConnections {
  /** Requests under way of each connection. */
  readonly #requests = new Map<Socket, number>()
  /** Connections without a request, with the time since when, in monotonic milliseconds; the longest idle comes first. */
  readonly #idle = new Map<Socket, number>()
  readonly #closed: LabelledCounter

  /**
   * @param bound - most open connections
   * @param telemetry - metrics
   */
  constructor (private readonly bound: number, telemetry: Telemetry) {
    this.#closed = telemetry.labelledCounter('connections_closed_for_room_total', 'Connections of callers that this host closed because too many were open', 'kind')
  }

  /**
   * Counts a new connection. Beyond the bound the longest idle one is closed, or the new one if none is idle.
   *
   * @param socket - connection that was accepted
   * @returns whether it may be used
   */
  add (socket: Socket): boolean {
    if (this.#requests.size >= this.bound && !this.#closeIdle()) {
      this.#closed.count('new')
      socket.destroy()
      return false
    }
    this.#requests.set(socket, 0)
    this.#idle.set(socket, performance.now())
    socket.once('close', () => {
      this.#requests.delete(socket)
      this.#idle.delete(socket)
    })
    return true
  }

  /** @param socket - connection on which a request has arrived */
  begin (socket: Socket): void {
    const requests = this.#requests.get(socket)
    if (requests === undefined) return
    this.#requests.set(socket, requests + 1)
    this.#idle.delete(socket)
  }

  /** @param socket - connection on which a response has ended */
  end (socket: Socket): void {
    const requests = this.#requests.get(socket)
    if (requests === undefined) return
    this.#requests.set(socket, requests - 1)
    if (requests === 1) this.#idle.set(socket, performance.now())
  }

  #closeIdle (): boolean {
    const [longest] = this.#idle
    if (longest === undefined) return false
    const [socket, since] = longest
    if (performance.now() - since < MIN_IDLE_MS) return false
    this.#requests.delete(socket)
    this.#idle.delete(socket)
    this.#closed.count('idle')
    socket.destroy()
    return true
  }
}
