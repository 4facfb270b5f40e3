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
  readonly #idleWaiters: Array<() => void> = []
  /** Work belongs to the generation in which it began; each wait for what is under way starts a new one. */
  #generation = 0
  #earlier = 0
  readonly #earlierWaiters: Array<() => void> = []

  get isClosed (): boolean { return this.#isClosed }
  get activeCount (): number { return this.#underWay }

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

  /** Resolves when all work that is under way now has ended; other work may have begun meanwhile. */
  async whenCurrentWorkEnds (): Promise<void> {
    this.#generation += 1
    this.#earlier = this.#underWay
    await new Promise<void>(resolve => {
      this.#earlierWaiters.push(resolve)
      this.#settle()
    })
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
    const generation = this.#generation
    let isOpen = true
    return {
      end: () => {
        if (!isOpen) return
        isOpen = false
        this.#underWay -= 1
        if (generation < this.#generation) this.#earlier -= 1
        assertInvariant(this.#underWay >= 0, 'graceful-stop', () => 'more work ended than began')
        this.#settle()
      }
    }
  }

  #settle (): void {
    if (this.#earlier === 0) {
      for (const wake of this.#earlierWaiters.splice(0)) wake()
    }
    if (!this.#isClosed || this.#underWay > 0) return
    for (const wake of this.#idleWaiters.splice(0)) wake()
  }
}
