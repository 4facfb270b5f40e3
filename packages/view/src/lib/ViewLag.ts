/** Follows how far the view of this host is behind the newest one that a control host has applied. */

/** Why and since when a host may not have the newest view. */
export interface ViewLagReport {
  /** Newest view that a control host has stated. */
  readonly newestView: number
  /** Number of views between the one in force and the newest one; 0 if the host is up to date as far as it knows. */
  readonly viewsBehind: number
  /** Milliseconds for which the host has known of a newer view; 0 if it knows of none. */
  readonly behindMs: number
  /** Address of the control host that was first to state a newer view; empty if there is none. */
  readonly statedBy: string
  /** Milliseconds since a majority last confirmed the view in force as the newest; infinite before the first time. */
  readonly confirmedMs: number
}

/** What control hosts have stated, compared with the view in force. */
export class ViewLag {
  #newestView = 0
  #behind: { readonly since: number, readonly statedBy: string } | undefined

  /**
   * @param statedBy - address of the control host
   * @param appliedView - view that the control host has applied
   * @param viewInForce - view in force on this host
   * @param now - monotonic milliseconds
   */
  observeStatement (statedBy: string, appliedView: number, viewInForce: number, now: number): void {
    this.#newestView = Math.max(this.#newestView, appliedView)
    if (appliedView > viewInForce) this.#behind ??= { since: now, statedBy }
  }

  /** @param viewInForce - view in force on this host from now on */
  observeView (viewInForce: number): void {
    if (viewInForce >= this.#newestView) this.#behind = undefined
  }

  /**
   * @param viewInForce - view in force on this host
   * @param confirmedAt - monotonic milliseconds at which a majority last confirmed it
   * @param now - monotonic milliseconds
   * @returns how far this host is behind
   */
  report (viewInForce: number, confirmedAt: number, now: number): ViewLagReport {
    return {
      newestView: Math.max(this.#newestView, viewInForce),
      viewsBehind: Math.max(0, this.#newestView - viewInForce),
      behindMs: this.#behind === undefined ? 0 : now - this.#behind.since,
      statedBy: this.#behind?.statedBy ?? '',
      confirmedMs: now - confirmedAt
    }
  }
}
