/**
 * Counts work under way and closes for new work at a planned stop.
 *
 * Work that began before the gate closed is always finished: `whenIdle` resolves
 * only after the last of it has ended.
 */
import { assertInvariant } from '@eelgrassmux/schema/invariant'

/** One piece of work that a planned stop waits for. */
export interface WorkTicket {
  /** Ends the work; further calls do nothing. */
  end (): void
}

/** Gate of one process. */
export class WorkGate {
  #isClosed = false
  #underWay = 0
  #idleWaiters: Array<() => void> = []

  get isClosed (): boolean { return this.#isClosed }
  get underWay (): number { return this.#underWay }

  /**
   * Begins new work.
   *
   * @returns a ticket, or undefined once the gate is closed
   */
  tryBegin (): WorkTicket | undefined {
    return this.#isClosed ? undefined : this.#begin()
  }

  /**
   * Begins work that belongs to work already under way, such as recording its outcome.
   *
   * @returns a ticket, also after the gate was closed
   */
  beginFollowUp (): WorkTicket {
    return this.#begin()
  }

  /** Closes the gate for new work. */
  close (): void {
    this.#isClosed = true
    this.#settle()
  }

  /** Resolves when the gate is closed and no work is under way. */
  async whenIdle (): Promise<void> {
    await new Promise<void>(resolve => {
      this.#idleWaiters.push(resolve)
      this.#settle()
    })
  }

  #begin (): WorkTicket {
    this.#underWay += 1
    let isOpen = true
    return {
      end: () => {
        if (!isOpen) return
        isOpen = false
        this.#underWay -= 1
        assertInvariant(this.#underWay >= 0, 'graceful-stop', () => 'more work ended than began')
        this.#settle()
      }
    }
  }

  #settle (): void {
    if (!this.#isClosed || this.#underWay > 0) return
    const waiters = this.#idleWaiters
    this.#idleWaiters = []
    for (const wake of waiters) wake()
  }
}
