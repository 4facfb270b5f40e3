/** What one request has to do with the quarantine: whether it is held back, and what its attempts show. */
import { requestFingerprint } from '@eelgrassmux/routing/quarantine/requestFingerprint'
import type { RoutedAttempt } from '../routed/RoutedAttempt.js'
import type { RoutedRequest } from '../routed/RoutedRequest.js'
import type { RequestQuarantine } from './RequestQuarantine.js'

/** How a line tells a request that was lost. */
export interface LostRunFields {
  readonly fingerprint: string
  readonly ranMs: number
  readonly hadEvents: boolean
}

/** Guards one request. */
export class QuarantineGuard {
  /** Worked out only once it is needed: most requests never need it. */
  #fingerprint: string | undefined

  /**
   * @param request - what is asked
   * @param message - method and target as its caller sent them
   * @param quarantine - of this host
   */
  constructor (
    private readonly request: RoutedRequest,
    private readonly message: { readonly method?: string | undefined, readonly url?: string | undefined },
    private readonly quarantine: RequestQuarantine
  ) {}

  get fingerprint (): string {
    const { method = 'GET', url = '/' } = this.message
    this.#fingerprint ??= requestFingerprint({ customer: this.request.customer?.name, method, target: url, body: this.request.body })
    return this.#fingerprint
  }

  /**
   * @param now - monotonic milliseconds
   * @returns milliseconds for which the request is held back; undefined if it may be sent
   */
  heldForMs (now: number): number | undefined {
    return this.quarantine.isIdle ? undefined : this.quarantine.heldForMs(this.fingerprint, now)
  }

  /** Notes that the request came through whole. */
  noteWhole (): void {
    if (!this.quarantine.isIdle) this.quarantine.noteWhole(this.fingerprint)
  }

  /**
   * Whoever was at an endpoint when it ended may be the one that ended it. One that leaves ends anyway.
   *
   * @param attempt - that was lost
   * @param now - monotonic milliseconds
   */
  noteLost ({ choice: { endpoint }, wasSent, startedAt }: RoutedAttempt, now: number): void {
    if (!wasSent || endpoint.isLeaving) return
    this.quarantine.noteLost({ fingerprint: this.fingerprint, service: this.request.service.name, endpoint: endpoint.incarnation, ranMs: now - startedAt })
  }

  /**
   * Tells requests that ended with an endpoint apart, and the same one under other ids.
   *
   * @param attempt - that was lost
   * @param hadEvents - whether any event came
   * @param now - monotonic milliseconds
   */
  describeLost ({ startedAt }: RoutedAttempt, hadEvents: boolean, now: number): LostRunFields {
    return { fingerprint: this.fingerprint, ranMs: Math.round(now - startedAt), hadEvents }
  }
}
