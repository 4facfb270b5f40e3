/** Virtual time, a seeded schedule and a lossy network for randomised runs over the cores. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import type { Clock } from '@eelgrassmux/schema/Clock'

/** Kinds of faults; a run may switch some off to find which are needed. */
export const FAULT_KINDS = ['loss', 'delay', 'duplicate', 'cut', 'freeze', 'kill', 'lost-disk', 'swap', 'disorder'] as const

/** @public */
export type FaultKind = typeof FAULT_KINDS[number]

interface ScheduledEvent {
  readonly at: number
  readonly sequence: number
  readonly run: () => void
}

/** Lines of the trace that are kept for a report. */
const TRACE_LINES = 40

/** One seeded run: same seed, same run. */
export class Simulation implements Clock {
  #now = 0
  #sequence = 0
  #executed = 0
  #faults = 0
  readonly #queue: ScheduledEvent[] = []
  readonly #trace: string[] = []
  readonly #generator
  readonly #cuts = new Set<string>()

  /**
   * @param seed - decides everything
   * @param kinds - faults that may happen
   */
  constructor (readonly seed: number, private readonly kinds: ReadonlySet<FaultKind>) {
    this.#generator = xoroshiro128plus(seed)
  }

  get executed (): number { return this.#executed }
  get faults (): number { return this.#faults }
  get trace (): readonly string[] { return this.#trace }

  now (): number { return this.#now }
  /** Hosts' wall clocks agree here; their slack is a setting of the product. */
  wallClock (): number { return this.#now }

  async sleep (milliseconds: number, signal?: AbortSignal): Promise<void> {
    await new Promise<void>(resolve => {
      this.after(milliseconds, resolve)
      signal?.addEventListener('abort', () => { resolve() }, { once: true })
    })
  }

  /** @returns a number in [0, 1) */
  random = (): number => uniformFloat64(this.#generator)

  /**
   * @param below - bound, not included
   * @returns a whole number from 0
   */
  pick (below: number): number {
    return Math.floor(this.random() * below)
  }

  /**
   * @param items - at least one
   * @returns one of them
   */
  oneOf<Item> (items: readonly Item[]): Item {
    const item = items[this.pick(items.length)]
    if (item === undefined) throw new Error('nothing to choose from')
    return item
  }

  /**
   * @param probability - from 0 to 1
   * @returns true that often
   */
  chance (probability: number): boolean {
    return this.random() < probability
  }

  /**
   * Decides whether a fault happens now, and counts it.
   *
   * @param kind - which fault
   * @param probability - how often, if this kind is on
   */
  fault (kind: FaultKind, probability: number): boolean {
    // The random number is drawn in any case, so that switching a kind off keeps the rest of the schedule.
    const happens = this.chance(probability) && this.kinds.has(kind)
    if (happens) this.#faults += 1
    return happens
  }

  /**
   * Notes a line for the report.
   *
   * @param line - what happened
   */
  note (line: string): void {
    this.#trace.push(`${this.#now.toFixed(1)} ms, event ${this.#executed}: ${line}`)
    if (this.#trace.length > TRACE_LINES) this.#trace.shift()
  }

  /**
   * Schedules something.
   *
   * @param milliseconds - from now
   * @param run - what to do
   */
  after (milliseconds: number, run: () => void): void {
    this.#sequence += 1
    this.#push({ at: this.#now + Math.max(0, milliseconds), sequence: this.#sequence, run })
  }

  /**
   * Sends a message over the network, which may lose, delay, repeat or reorder it.
   *
   * @param from - sender
   * @param to - receiver
   * @param deliver - called on arrival
   */
  send (from: string, to: string, deliver: () => void): void {
    const copies = this.fault('duplicate', 0.02) ? 2 : 1
    for (let copy = 0; copy < copies; copy += 1) {
      if (this.fault('loss', 0.03)) continue
      const latency = 0.3 + this.random() * 2 + (this.fault('delay', 0.03) ? this.random() * 400 : 0)
      this.after(latency, () => {
        if (!this.#cuts.has(`${from}>${to}`)) deliver()
      })
    }
  }

  /**
   * Cuts one direction for a while.
   *
   * @param from - sender
   * @param to - receiver
   * @param milliseconds - how long
   */
  cut (from: string, to: string, milliseconds: number): void {
    this.#cuts.add(`${from}>${to}`)
    this.after(milliseconds, () => { this.#cuts.delete(`${from}>${to}`) })
  }

  /** Mends all cuts. */
  heal (): void {
    this.#cuts.clear()
  }

  /**
   * Executes events until a number of them, or a time, is reached.
   *
   * @param limits - most events in total, latest virtual time
   */
  async run (limits: { readonly events: number, readonly until: number }): Promise<void> {
    while (this.#executed < limits.events) {
      const next = this.#pop(limits.until)
      if (next === undefined) break
      this.#now = next.at
      this.#executed += 1
      next.run()
      // Let everything that waits for this event go on before the next one.
      await new Promise(resolve => { setImmediate(resolve) })
    }
  }

  // --- Binary heap by time ---

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
