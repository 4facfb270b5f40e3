/**
 * Counts work in progress, and rejects new work once a graceful stop has closed the gate.
 *
 * Work that began before the gate closed always finishes: `whenIdle` resolves only
 * after all of it has ended.
 */
import { assertInvariant } from '@eelgrassmux/schema/invariant'

/** One unit of work that a graceful stop waits for. */
export interface WorkTicket {
  /** Marks the work as ended; further calls have no effect. */
  end (): void
}

/** Tracks the work of one process. */
export class WorkGate {
  #isClosed = false
  #activeCount = 0
  readonly #idleWaiters: Array<() => void> = []
  /** Generation of new work; each call of `whenCurrentWorkEnds` starts a new generation. */
  #generation = 0
  /** Work in progress of earlier generations. */
  #earlierCount = 0
  readonly #earlierWaiters: Array<() => void> = []

  get isClosed (): boolean { return this.#isClosed }
  get activeCount (): number { return this.#activeCount }

  /**
   * Begins new work.
   *
   * @returns a ticket, or undefined once the gate is closed
   */
  tryBegin (): WorkTicket | undefined {
    return this.#isClosed ? undefined : this.#begin()
  }

  /**
   * Begins work that belongs to work in progress, such as recording its outcome.
   *
   * @returns a ticket, even if the gate is closed
   */
  beginFollowUp (): WorkTicket {
    return this.#begin()
  }

  /** Closes the gate for new work. */
  close (): void {
    this.#isClosed = true
    this.#wakeWaiters()
  }

  /** Resolves when all work that is in progress now has ended; it does not wait for work that begins later. */
  async whenCurrentWorkEnds (): Promise<void> {
    this.#generation += 1
    this.#earlierCount = this.#activeCount
    await new Promise<void>(resolve => {
      this.#earlierWaiters.push(resolve)
      this.#wakeWaiters()
    })
  }

  /** Resolves when the gate is closed and no work is under way. */
  async whenIdle (): Promise<void> {
    await new Promise<void>(resolve => {
      this.#idleWaiters.push(resolve)
      this.#wakeWaiters()
    })
  }

  #begin (): WorkTicket {
    this.#activeCount += 1
    const generation = this.#generation
    let isOpen = true
    return {
      end: () => {
        if (!isOpen) return
        isOpen = false
        this.#activeCount -= 1
        if (generation < this.#generation) this.#earlierCount -= 1
        assertInvariant(this.#activeCount >= 0, 'graceful-stop', () => 'more work ended than began')
        this.#wakeWaiters()
      }
    }
  }

  #wakeWaiters (): void {
    if (this.#earlierCount === 0) {
      for (const wake of this.#earlierWaiters.splice(0)) wake()
    }
    if (!this.#isClosed || this.#activeCount > 0) return
    for (const wake of this.#idleWaiters.splice(0)) wake()
  }
}
