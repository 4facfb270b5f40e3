/** Tells up to which moment a watch is known to have delivered everything that its control host had. */

/** Version of watched contents; versions of different incarnations cannot be compared. */
interface WatchedVersion {
  readonly incarnation: string
  readonly version: number
}

/**
 * Compares the messages of a watch with the status responses of the same control host.
 *
 * A message carries no time that this host can compare: it may have lain in a buffer, or before a process that stood
 * still. A status response describes the control host as it was after the request for it was sent.
 */
export class WatchProgress {
  #received: WatchedVersion | undefined
  #awaited: WatchedVersion & { readonly askedAt: number } | undefined
  #completeAt = Number.NEGATIVE_INFINITY

  /** Monotonic milliseconds at which the contents received so far were complete at the latest; negative infinity before the first message. */
  get completeAt (): number { return this.#received === undefined ? Number.NEGATIVE_INFINITY : this.#completeAt }

  /** @param startedAt - monotonic milliseconds at which a new watch was started; its first message has everything of then */
  restart (startedAt: number): void {
    this.#received = undefined
    this.#awaited = undefined
    this.#completeAt = startedAt
  }

  /**
   * Records a message of the watch.
   *
   * @param received - version that the message has brought
   * @returns monotonic milliseconds after which the control host sent it
   */
  receive ({ incarnation, version }: WatchedVersion): number {
    const sentAfter = this.#completeAt
    this.#received = { incarnation, version }
    if (this.#awaited !== undefined && this.#has(this.#awaited)) {
      this.#completeAt = Math.max(sentAfter, this.#awaited.askedAt)
      this.#awaited = undefined
    }
    return sentAfter
  }

  /**
   * Records a status response.
   *
   * @param stated - version that the control host has stated
   * @param askedAt - monotonic milliseconds at which the status request was sent
   * @returns how the received version compares with the stated one
   */
  confirm (stated: WatchedVersion, askedAt: number): 'behind' | 'same' | 'ahead' {
    if (!this.#has(stated)) {
      this.#awaited ??= { ...stated, askedAt }
      return 'behind'
    }
    this.#completeAt = Math.max(this.#completeAt, askedAt)
    return this.#received?.version === stated.version ? 'same' : 'ahead'
  }

  #has ({ incarnation, version }: WatchedVersion): boolean {
    return this.#received?.incarnation === incarnation && this.#received.version >= version
  }
}
