/**
 * Counts the memory that a host holds because its readers (callers, and endpoints that receive request bodies) read
 * slowly, and decides which reader has to be cut when a bound is exceeded.
 */

/** Bounds on held bytes. */
export interface HeldBytesBounds {
  /** Most bytes held for all readers. */
  readonly totalBytes: number
  /** Most bytes held for the readers of one customer while other customers hold any. */
  readonly customerBytes: number
}

/** Bytes that a reader has not read yet. */
export interface HeldChunk {
  readonly bytes: number
  /** When the bytes were handed to the reader's connection, in monotonic milliseconds. */
  readonly heldAt: number
}

/**
 * Memory that a chunk occupies in addition to its bytes, in bytes: Node.js queues a chunk of a chunked response as several
 * writes. The resident memory grew by 1,320 bytes for each event of 60 bytes that was written to a connection nobody read from.
 */
export const CHUNK_OVERHEAD_BYTES = 1260

/** A connection that reads bytes from this host. */
export class HeldReader<Owner> {
  readonly #unread = new Set<HeldChunk>()
  #bytes = 0
  #isClosed = false

  /**
   * @param owner - what the reader belongs to
   * @param customer - name of the customer whose request it is
   * @param graceMs - time for which bytes may stay unread before the reader is cut, in milliseconds
   * @param count - changes the customer's sum
   */
  constructor (
    readonly owner: Owner,
    readonly customer: string,
    readonly graceMs: number,
    private readonly count: (reader: HeldReader<Owner>, change: number) => void
  ) {}

  /** Bytes held for the reader, with the memory that their chunks occupy. */
  get bytes (): number { return this.#bytes }

  /** When the oldest unread byte was handed to the connection, in monotonic milliseconds; undefined if everything was read. */
  get oldestAt (): number | undefined {
    const [oldest] = this.#unread
    return oldest?.heldAt
  }

  /**
   * Counts a chunk, unless the reader was closed.
   *
   * @param length - bytes that are handed to the reader's connection
   * @param now - monotonic milliseconds
   * @returns the chunk, for {@link HeldReader.release}
   */
  hold (length: number, now: number): HeldChunk {
    const chunk = { bytes: length + CHUNK_OVERHEAD_BYTES, heldAt: now }
    if (this.#isClosed) return chunk
    this.#unread.add(chunk)
    this.#change(chunk.bytes)
    return chunk
  }

  /** @param chunk - chunk that has been read; it may have been released before */
  release (chunk: HeldChunk): void {
    if (this.#unread.delete(chunk)) this.#change(-chunk.bytes)
  }

  /** Releases everything that is held for the reader, for good. */
  close (): void {
    this.#isClosed = true
    this.#unread.clear()
    if (this.#bytes > 0) this.#change(-this.#bytes)
  }

  #change (bytes: number): void {
    this.#bytes += bytes
    this.count(this, bytes)
  }
}

/** Readers of a customer with unread bytes. */
interface CustomerReaders<Owner> {
  bytes: number
  readonly readers: Set<HeldReader<Owner>>
}

/** All readers of a host. */
export class HeldBytes<Owner> {
  /** Customers for which bytes are held. */
  readonly #customers = new Map<string, CustomerReaders<Owner>>()
  #totalBytes = 0

  /** @param bounds - bounds on held bytes */
  constructor (private readonly bounds: HeldBytesBounds) {}

  /** Bytes held for all readers. */
  get totalBytes (): number { return this.#totalBytes }

  /** Bytes held for the customer that holds most. */
  get largestCustomerBytes (): number { return this.#largest()?.bytes ?? 0 }

  /**
   * @param customer - customer name
   * @returns bytes held for the customer's readers
   */
  customerBytes (customer: string): number {
    return this.#customers.get(customer)?.bytes ?? 0
  }

  /**
   * @param owner - what the reader belongs to
   * @param customer - name of the customer whose request it is
   * @param graceMs - time for which bytes may stay unread before the reader is cut, in milliseconds
   * @returns a reader for which nothing is held yet
   */
  open (owner: Owner, customer: string, graceMs = 0): HeldReader<Owner> {
    return new HeldReader(owner, customer, graceMs, (reader, change) => { this.#count(reader, change) })
  }

  /**
   * Returns the reader that has to be cut: the one with the oldest unread byte among the readers of the customer that holds most.
   *
   * @param now - monotonic milliseconds
   * @returns undefined while the bounds are kept, or while all readers of that customer are within their grace
   */
  readerToCut (now: number): HeldReader<Owner> | undefined {
    if (this.#totalBytes <= this.bounds.customerBytes) return undefined
    const largest = this.#largest()
    if (largest === undefined) return undefined
    const isBeyondShare = this.#customers.size > 1 && largest.bytes > this.bounds.customerBytes
    return isBeyondShare || this.#totalBytes > this.bounds.totalBytes ? slowest(largest.readers, now) : undefined
  }

  #count (reader: HeldReader<Owner>, change: number): void {
    this.#totalBytes += change
    const customer = this.#customers.get(reader.customer) ?? { bytes: 0, readers: new Set() }
    customer.bytes += change
    if (reader.bytes > 0) customer.readers.add(reader)
    else customer.readers.delete(reader)
    if (customer.bytes > 0) this.#customers.set(reader.customer, customer)
    else this.#customers.delete(reader.customer)
  }

  #largest (): CustomerReaders<Owner> | undefined {
    let largest: CustomerReaders<Owner> | undefined
    for (const customer of this.#customers.values()) {
      if (largest === undefined || customer.bytes > largest.bytes) largest = customer
    }
    return largest
  }
}

/** Returns the reader with the oldest unread byte among those beyond their grace. */
function slowest<Owner> (readers: ReadonlySet<HeldReader<Owner>>, now: number): HeldReader<Owner> | undefined {
  let found: HeldReader<Owner> | undefined
  let oldestAt = Number.POSITIVE_INFINITY
  for (const reader of readers) {
    const readerOldestAt = reader.oldestAt ?? Number.POSITIVE_INFINITY
    if (readerOldestAt >= oldestAt || now < readerOldestAt + reader.graceMs) continue
    found = reader
    oldestAt = readerOldestAt
  }
  return found
}
