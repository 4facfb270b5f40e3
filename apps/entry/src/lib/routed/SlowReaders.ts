/** Bounds the memory that slow readers of this host hold, and cuts the slowest reader beyond the bounds. */
import { entryMemoryBudget } from '@eelgrassmux/daemon/MemoryBudget'
import { HeldBytes, type HeldBytesBounds, type HeldReader } from '@eelgrassmux/routing/admission/HeldBytes'
import type { LoadFeatures } from '@eelgrassmux/routing/features/LoadFeatures'
import type { DecisionFields } from '@eelgrassmux/telemetry/events/eventFields'
import type { LabelledCounter, Telemetry } from '@eelgrassmux/telemetry/Telemetry'

/** Who reads: a caller its response, or an endpoint the body of a request. */
export type ReaderKind = 'caller' | 'endpoint'

/** Why a reader is cut. */
export type SlowReaderDetails = DecisionFields<'slow-reader-cut'>

/** Ends the request of a reader that is cut. */
type CutReader = (details: SlowReaderDetails) => void

/** What a reader belongs to. */
interface ReaderOwner {
  readonly kind: ReaderKind
  readonly cut: CutReader
}

/**
 * Time for which bytes may stay unread before the reader is cut, in milliseconds. The body of a request is in memory until the
 * request ends, whether or not its endpoint has read it, so an endpoint gets the shortest time that callers wait.
 */
const GRACE_MS: Readonly<Record<ReaderKind, number>> = { caller: 0, endpoint: 2000 }

/** Part of the bound for all readers that those of one customer may hold. */
const CUSTOMER_SHARE = 1 / 4

/** Least bound for all readers, in bytes, so that callers of a host whose memory is used up still get their responses. */
const MIN_TOTAL_BYTES = 1_000_000

/**
 * @param memoryMb - memory of the host in megabytes; 0 if it is not known
 * @param otherResponseBytes - returns what other responses occupy of the memory that all responses share, in bytes
 * @returns the bounds on the bytes that the host may hold, which change with what other responses occupy
 */
export function slowReaderBounds (memoryMb: number, otherResponseBytes: () => number = () => 0): HeldBytesBounds {
  const { responseBytes, mostOfResponses: { slowReaders } } = entryMemoryBudget(memoryMb)
  return {
    get totalBytes () { return Math.max(MIN_TOTAL_BYTES, Math.min(slowReaders, responseBytes - otherResponseBytes())) },
    get customerBytes () { return Math.floor(this.totalBytes * CUSTOMER_SHARE) }
  }
}

/** Memory of a response that waits for its caller, in bytes: a piece in the caller's connection, and one that has arrived behind it. */
export const WAITING_RESPONSE_BYTES = 128 * 1024

/** The bytes that one reader has not read. */
export class SlowReader {
  /**
   * @param reader - counts the bytes
   * @param keepBounds - cuts readers while a bound is exceeded
   */
  constructor (private readonly reader: HeldReader<ReaderOwner>, private readonly keepBounds: () => void) {}

  /**
   * Counts bytes that are handed to the reader's connection. Readers, also this one, may be cut before the call returns.
   *
   * @param bytes - number of bytes
   * @returns releases the bytes; to be called when they have been read
   */
  hold (bytes: number): () => void {
    const chunk = this.reader.hold(bytes, performance.now())
    this.keepBounds()
    return () => { this.reader.release(chunk) }
  }

  /** Releases everything that is held for the reader. */
  close (): void {
    this.reader.close()
  }
}

/** All readers of this host. */
export class SlowReaders {
  readonly #held: HeldBytes<ReaderOwner>
  /** Responses that wait for their callers; there are none while the feature is on, so both have the whole bounds. */
  readonly #waiting: HeldBytes<ReaderOwner>
  readonly #cuts: LabelledCounter

  /**
   * @param features - features for hard load that are in use
   * @param bounds - bounds on held bytes
   * @param telemetry - metrics
   */
  constructor (private readonly features: LoadFeatures, bounds: HeldBytesBounds, telemetry: Telemetry) {
    this.#held = new HeldBytes(bounds)
    this.#waiting = new HeldBytes(bounds)
    this.#cuts = telemetry.labelledCounter('slow_readers_cut_total', 'Slow readers cut because the bytes held for them exceeded a bound', 'reader')
    telemetry.gauge('held_bytes', 'Memory held for callers and endpoints that read slowly, in bytes', () => this.#held.totalBytes)
    telemetry.gauge('waiting_response_bytes', 'Memory of responses that wait until their callers read on, in bytes', () => this.#waiting.totalBytes)
    telemetry.gauge('held_bytes_largest_customer', 'Memory held for the slow readers of the customer that holds most, in bytes', () => this.#held.largestCustomerBytes)
  }

  /** Memory held for all readers, in bytes. */
  get totalBytes (): number { return this.#held.totalBytes }

  /** Memory of responses that wait until their callers read on, in bytes. */
  get waitingBytes (): number { return this.#waiting.totalBytes }

  /**
   * @param kind - who reads
   * @param customer - name of the customer whose request it is; empty if there is none
   * @param cut - ends the request if the reader is cut
   * @returns a reader; undefined while the feature is off
   */
  open (kind: ReaderKind, customer: string, cut: CutReader): SlowReader | undefined {
    if (!this.features.isEnabled('slow-readers')) return undefined
    return new SlowReader(this.#held.open({ kind, cut }, customer, GRACE_MS[kind]), () => { this.#keepBounds(this.#held) })
  }

  /**
   * Counts a caller whose response waits until it reads on. Unlike {@link SlowReaders.open}, this does not depend on a feature:
   * what has arrived behind the response occupies memory as well.
   *
   * @param customer - name of the customer whose request it is; empty if there is none
   * @param cut - ends the request if the caller is cut
   */
  openWaiting (customer: string, cut: CutReader): SlowReader {
    return new SlowReader(this.#waiting.open({ kind: 'caller', cut }, customer, GRACE_MS.caller), () => { this.#keepBounds(this.#waiting) })
  }

  #keepBounds (held: HeldBytes<ReaderOwner>): void {
    const now = performance.now()
    for (let reader = held.readerToCut(now); reader !== undefined; reader = held.readerToCut(now)) this.#cut(held, reader, now)
  }

  #cut (held: HeldBytes<ReaderOwner>, reader: HeldReader<ReaderOwner>, now: number): void {
    const { owner: { kind, cut }, customer, bytes, oldestAt = 0 } = reader
    const details = {
      reader: kind,
      customer,
      heldBytes: bytes,
      customerBytes: held.customerBytes(customer),
      totalBytes: held.totalBytes,
      unreadMs: Math.round(now - oldestAt)
    }
    // Closed first, so that the loop ends and bytes that the end of the request writes are not counted against it.
    reader.close()
    this.#cuts.count(kind)
    cut(details)
  }
}
