/**
 * How fast a store's link is now, against what the site states.
 *
 * Answers links that turn four or eight times slower for some seconds, at a load that
 * they carry only while they are sound: what was planned for them then waits for
 * seconds, and with it the memory and the places of the engines. A first event that
 * is late by more than the reading explains tells of it, without any call.
 *
 * Speeds are kept as doublings of a transfer's time: 0 as stated, 2 four times slower.
 */

/** Time in which a sample loses two thirds of its weight, in milliseconds: ten transfers of a busy link. */
const SAMPLE_LIFETIME_MS = 1000

/** What a host's earlier samples keep of their weight at its next one: two transfers of each host outweigh all before. */
const KEPT_SHARE = 0.5

/** Samples for which what was believed before counts as much as what they say. */
const DOUBTED_SAMPLES = 1

/** Time in which a belief follows what many samples say, in milliseconds. */
const FOLLOW_MS = 150

/** Time in which a belief is forgotten that nothing confirms, in milliseconds, so that a link that was slow is tried again. */
const FORGET_MS = 4000

/** Bounds of a belief and of one sample, in doublings: a single odd request settles nothing. */
const BOUNDS = { least: -1, most: 5 }

/** What transfers have shown lately. */
export interface SpeedEvidence {
  readonly samples: number
  /** Sum of the doublings that they showed. */
  readonly doublings: number
}

/** Samples of one host, older ones counting less. */
export class SpeedSamples {
  #samples = 0
  #slower = 0
  #faster = 0
  #at = 0

  /**
   * @param doublings - that one transfer took, against the stated speed
   * @param now - monotonic milliseconds
   */
  add (doublings: number, now: number): void {
    const bounded = Math.min(BOUNDS.most, Math.max(BOUNDS.least, doublings))
    this.#decay(now)
    this.#keep(KEPT_SHARE)
    this.#samples += 1
    this.#slower += Math.max(0, bounded)
    this.#faster += Math.max(0, -bounded)
  }

  /**
   * @param now - monotonic milliseconds
   * @returns number of samples, and sums of doublings to either side
   */
  recent (now: number): { readonly samples: number, readonly slower: number, readonly faster: number } {
    this.#decay(now)
    return { samples: this.#samples, slower: this.#slower, faster: this.#faster }
  }

  #decay (now: number): void {
    this.#keep(Math.exp(-(now - this.#at) / SAMPLE_LIFETIME_MS))
    this.#at = now
  }

  #keep (share: number): void {
    this.#samples *= share
    this.#slower *= share
    this.#faster *= share
  }
}

/** What a host believes of one link. */
export class LinkSpeed {
  #doublings: number
  #learntAt: number

  /**
   * @param doublings - believed at first
   * @param now - monotonic milliseconds
   */
  constructor (doublings: number, now: number) {
    this.#doublings = doublings
    this.#learntAt = now
  }

  /**
   * Follows what transfers show: at once where there are many, slowly where there are few.
   *
   * @param evidence - what they showed lately
   * @param now - monotonic milliseconds
   */
  learn ({ samples, doublings }: SpeedEvidence, now: number): void {
    const present = this.doublings(now)
    const trust = samples / (samples + DOUBTED_SAMPLES)
    const followed = trust * (1 - Math.exp(-(now - this.#learntAt) / FOLLOW_MS))
    const shown = samples === 0 ? present : doublings / samples
    this.#doublings = present + (shown - present) * followed
    this.#learntAt = now
  }

  /**
   * @param now - monotonic milliseconds
   * @returns doublings of a transfer's time
   */
  doublings (now: number): number {
    return this.#doublings * Math.exp(-(now - this.#learntAt) / FORGET_MS)
  }
}
