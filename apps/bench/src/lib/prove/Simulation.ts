/** Virtual time, a seeded schedule and a lossy network for randomised runs of the core classes. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import type { Clock } from '@eelgrassmux/schema/Clock'

/** Kinds of faults. A run can disable some of them to find out which ones a violation needs. */
export const FAULT_KINDS = ['loss', 'delay', 'duplicate', 'cut', 'freeze', 'kill', 'lost-disk', 'swap', 'disorder'] as const

/** @public */
export type FaultKind = typeof FAULT_KINDS[number]

interface ScheduledEvent {
  readonly at: number
  readonly sequence: number
  readonly run: () => void
}

/** Number of trace lines kept for the report. */
const MAX_TRACE_LINES = 40

/** A deterministic discrete-event simulation: the same seed gives the same run. */
export class Simulation implements Clock {
  #now = 0
  #sequence = 0
  #executedEvents = 0
  #faultCount = 0
  readonly #queue: ScheduledEvent[] = []
  readonly #trace: string[] = []
  readonly #generator
  readonly #cutLinks = new Set<string>()

  /**
   * @param seed - seed of the random numbers, which determines the whole run
   * @param enabledFaults - faults that may be injected
   */
  constructor (readonly seed: number, private readonly enabledFaults: ReadonlySet<FaultKind>) {
    this.#generator = xoroshiro128plus(seed)
  }

  get executedEvents (): number { return this.#executedEvents }
  get faultCount (): number { return this.#faultCount }
  get trace (): readonly string[] { return this.#trace }

  now (): number { return this.#now }
  /** All simulated hosts share one wall clock; the clock skew that the product tolerates is one of its settings. */
  wallClock (): number { return this.#now }

  async sleep (milliseconds: number, signal?: AbortSignal): Promise<void> {
    await new Promise<void>(resolve => {
      this.schedule(milliseconds, resolve)
      signal?.addEventListener('abort', () => { resolve() }, { once: true })
    })
  }

  /** @returns a number in [0, 1) */
  random = (): number => uniformFloat64(this.#generator)

  /**
   * @param below - exclusive upper bound
   * @returns a random integer from 0
   */
  pick (below: number): number {
    return Math.floor(this.random() * below)
  }

  /**
   * @param items - non-empty list
   * @returns a random item
   */
  pickFrom<Item> (items: readonly Item[]): Item {
    const item = items[this.pick(items.length)]
    if (item === undefined) throw new Error('cannot pick from an empty list')
    return item
  }

  /**
   * @param probability - from 0 to 1
   * @returns true with that probability
   */
  chance (probability: number): boolean {
    return this.random() < probability
  }

  /**
   * Decides whether to inject a fault now, and counts it.
   *
   * @param fault - kind of fault
   * @param probability - probability of the fault if its kind is enabled
   */
  drawFault (fault: FaultKind, probability: number): boolean {
    // Draws the random number in any case, so that disabling a kind leaves the rest of the schedule unchanged.
    const isInjected = this.chance(probability) && this.enabledFaults.has(fault)
    if (isInjected) this.#faultCount += 1
    return isInjected
  }

  /**
   * Adds a line to the trace, which is printed with a violation.
   *
   * @param line - description of the event
   */
  log (line: string): void {
    this.#trace.push(`${this.#now.toFixed(1)} ms, event ${this.#executedEvents}: ${line}`)
    if (this.#trace.length > MAX_TRACE_LINES) this.#trace.shift()
  }

  /**
   * Schedules a callback.
   *
   * @param milliseconds - delay from now
   * @param run - callback
   */
  schedule (milliseconds: number, run: () => void): void {
    this.#sequence += 1
    this.#push({ at: this.#now + Math.max(0, milliseconds), sequence: this.#sequence, run })
  }

  /**
   * Sends a message over the network, which may lose, delay, duplicate or reorder it.
   *
   * @param from - sender
   * @param to - receiver
   * @param deliver - called when a copy of the message arrives
   */
  send (from: string, to: string, deliver: () => void): void {
    const copies = this.drawFault('duplicate', 0.02) ? 2 : 1
    for (let copy = 0; copy < copies; copy += 1) {
      if (this.drawFault('loss', 0.03)) continue
      const latency = 0.3 + this.random() * 2 + (this.drawFault('delay', 0.03) ? this.random() * 400 : 0)
      this.schedule(latency, () => {
        if (!this.#cutLinks.has(`${from}>${to}`)) deliver()
      })
    }
  }

  /**
   * Drops all messages in one direction of a link for a limited time.
   *
   * @param from - sender
   * @param to - receiver
   * @param milliseconds - duration
   */
  cutLink (from: string, to: string, milliseconds: number): void {
    this.#cutLinks.add(`${from}>${to}`)
    this.schedule(milliseconds, () => { this.#cutLinks.delete(`${from}>${to}`) })
  }

  /** Restores all links that are cut. */
  restoreLinks (): void {
    this.#cutLinks.clear()
  }

  /**
   * Executes events until the total number of events or the virtual time reaches its limit.
   *
   * @param limits - maximum total number of events and latest virtual time
   */
  async run (limits: { readonly events: number, readonly until: number }): Promise<void> {
    while (this.#executedEvents < limits.events) {
      const next = this.#pop(limits.until)
      if (next === undefined) break
      this.#now = next.at
      this.#executedEvents += 1
      next.run()
      // Lets all promise continuations of this event run before the next event.
      await new Promise(resolve => { setImmediate(resolve) })
    }
  }

  // --- Binary heap, ordered by time ---

  #push (event: ScheduledEvent): void {
    const queue = this.#queue
    let position = queue.push(event) - 1
    while (position > 0) {
      const parent = (position - 1) >> 1
      if (!isBefore(event, queue[parent])) break
      queue[position] = queue[parent] as ScheduledEvent
      position = parent
    }
    queue[position] = event
  }

  #pop (until: number): ScheduledEvent | undefined {
    const queue = this.#queue
    const first = queue[0]
    const last = queue.at(-1)
    if (first === undefined || last === undefined || first.at > until) return undefined
    queue.pop()
    if (queue.length === 0) return first
    let position = 0
    for (;;) {
      const left = 2 * position + 1
      if (left >= queue.length) break
      const child = left + 1 < queue.length && isBefore(queue[left + 1], queue[left]) ? left + 1 : left
      if (!isBefore(queue[child], last)) break
      queue[position] = queue[child] as ScheduledEvent
      position = child
    }
    queue[position] = last
    return first
  }
}

function isBefore (left: ScheduledEvent | undefined, right: ScheduledEvent | undefined): boolean {
  if (left === undefined || right === undefined) return false
  return left.at < right.at || (left.at === right.at && left.sequence < right.sequence)
}
