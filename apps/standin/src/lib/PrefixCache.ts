/** Bounded prefix cache of the stand-in engine, with a numbered log of stored and removed blocks. */

/** One change of the cache contents. */
export interface LoggedCacheEvent {
  readonly sequence: number
  readonly kind: 'stored' | 'removed'
  readonly keys: readonly string[]
  readonly at: number
}

/** Maximum number of events kept for readers. A reader that needs an older event gets a gap. */
const MAX_EVENTS = 2000

/** LRU cache of block keys. */
export class PrefixCache {
  readonly #blocks = new Map<string, number>()
  #events: LoggedCacheEvent[] = []
  #nextSequence = 1
  #residenceMs = 0

  /** @param capacityBlocks - maximum number of blocks */
  constructor (private readonly capacityBlocks: number) {}

  get nextSequence (): number { return this.#nextSequence }
  /** Moving average of the time from the last use of a block to its eviction, in milliseconds; 0 before the first eviction. */
  get residenceMs (): number { return this.#residenceMs }

  /**
   * @param keys - block keys of a prompt, in chain order
   * @returns the number of leading blocks in the cache
   */
  leadingBlockCount (keys: readonly string[]): number {
    let count = 0
    while (count < keys.length && this.#blocks.has(keys[count] ?? '')) count += 1
    return count
  }

  /**
   * @param keys - block keys in any order
   * @returns whether the cache holds all of them
   */
  holds (keys: readonly string[]): boolean {
    return keys.every(key => this.#blocks.has(key))
  }

  /**
   * Adds blocks, or marks them as used, and evicts the least recently used blocks above the capacity.
   *
   * @param keys - block keys in chain order
   * @param now - monotonic time, in milliseconds
   */
  store (keys: readonly string[], now: number): void {
    const fresh = keys.filter(key => !this.#blocks.has(key))
    // Later blocks of a chain can't be used without the earlier ones, so earlier blocks are marked as more recently used.
    for (const key of [...keys].reverse()) {
      this.#blocks.delete(key)
      this.#blocks.set(key, now)
    }
    if (fresh.length > 0) this.#recordEvent('stored', fresh, now)
    const removed: string[] = []
    for (const [key, usedAt] of this.#blocks) {
      if (this.#blocks.size <= this.capacityBlocks) break
      this.#blocks.delete(key)
      removed.push(key)
      this.#residenceMs += (now - usedAt - this.#residenceMs) * 0.05
    }
    if (removed.length > 0) this.#recordEvent('removed', removed, now)
  }

  /** @returns the keys of all blocks in the cache */
  keys (): string[] {
    return [...this.#blocks.keys()]
  }

  /**
   * @param from - first sequence number to read
   * @param visibleBefore - time after which events are not published yet, in monotonic milliseconds
   * @returns the events, or undefined if some are no longer available
   */
  eventsFrom (from: number, visibleBefore: number): LoggedCacheEvent[] | undefined {
    const oldest = this.#events[0]?.sequence ?? this.#nextSequence
    if (from < oldest || from > this.#nextSequence) return undefined
    return this.#events.filter(event => event.sequence >= from && event.at <= visibleBefore)
  }

  #recordEvent (kind: 'stored' | 'removed', keys: readonly string[], at: number): void {
    this.#events.push({ sequence: this.#nextSequence, kind, keys, at })
    this.#nextSequence += 1
    if (this.#events.length > MAX_EVENTS) this.#events = this.#events.slice(-MAX_EVENTS / 2)
  }
}
