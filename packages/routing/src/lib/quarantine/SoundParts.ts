/** Parts of prompts that this host has lately seen to crash no endpoint. */

/** Time for which a part is remembered, in milliseconds. */
const REMEMBERED_MS = 60_000

/** Most parts that are remembered; the one that was seen longest ago is forgotten first. */
const MAX_PARTS = 8192

/** When a request with each part last made progress, by fingerprint of the part. */
export class SoundParts {
  readonly #seenAt = new Map<string, number>()

  /**
   * @param part - fingerprint of a part of a request that has made progress
   * @param now - monotonic milliseconds
   */
  record (part: string, now: number): void {
    this.#seenAt.delete(part)
    this.#seenAt.set(part, now)
    for (const [oldest, at] of this.#seenAt) {
      if (now - at < REMEMBERED_MS && this.#seenAt.size <= MAX_PARTS) break
      this.#seenAt.delete(oldest)
    }
  }

  /**
   * @param part - fingerprint of a part
   * @param since - monotonic milliseconds
   * @returns whether a request with the part has made progress since then
   */
  isShownSince (part: string, since: number): boolean {
    return (this.#seenAt.get(part) ?? Number.NEGATIVE_INFINITY) >= since
  }

  /**
   * @param part - fingerprint of a part
   * @param now - monotonic milliseconds
   * @returns whether a request with the part is known to have made progress lately
   */
  isKnown (part: string, now: number): boolean {
    return this.isShownSince(part, now - REMEMBERED_MS)
  }
}
