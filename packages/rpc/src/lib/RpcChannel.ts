/**
 * One connection to a server. Finds out whether it still carries anything once an answer is overdue.
 *
 * A connection may go silent without a reset while new ones work. Keepalive pings that are frequent enough to
 * notice it soon would cost every host bytes at rest, so the connection is checked only when there is a doubt:
 * a call without an answer, or a message that is known to be due. A server that is merely slow answers the check.
 */
import { Client, credentials, type ChannelOptions, type ServiceError } from '@grpc/grpc-js'
import { fromServiceError } from './RpcError.js'
import { decodeMessage, encodeMessage } from './RpcMethod.js'
import { ping } from './methods/ping.js'

/** Time after which an answer or a message counts as overdue, in milliseconds; the network takes a few. */
const OVERDUE_MS = 200

/** Time that the check of a connection may take, in milliseconds; doubled for each connection that was replaced before it carried anything. */
export const MIN_CHECK_MS = 200
export const MAX_CHECK_MS = 3200

/** Lateness of a timer, in milliseconds, from which on this process may not have read its sockets in time. */
const BLOCKED_MS = 50

/** A call or a stream that uses a channel. */
export interface ChannelUse {
  /** The server has sent something for this call. */
  answered (): void
  /** The call is over; `isUnanswered` if its deadline passed without any answer. */
  end (isUnanswered: boolean): void
}

/** A connection that can be replaced while calls on it still wait for late answers. */
export class RpcChannel {
  readonly client: Client
  readonly #uses = new Set<() => void>()
  readonly #overdueTimers = new Set<NodeJS.Timeout>()
  #lastMessageAt = Number.NEGATIVE_INFINITY
  #messageTimer: NodeJS.Timeout | undefined
  #messageDueAt = Number.POSITIVE_INFINITY
  #isChecking = false
  #isRetired = false
  #hasAnswered = false

  /**
   * @param address - IP address and port of the server
   * @param options - options of the gRPC library
   * @param checkMs - time that a check of this connection may take, in milliseconds
   * @param onSilent - called once when the connection is found to be silent
   */
  constructor (
    private readonly address: string, options: ChannelOptions, private readonly checkMs: number, private readonly onSilent: () => void
  ) {
    this.client = new Client(address, credentials.createInsecure(), options)
  }

  /** Time that a check of the connection that replaces this one may take, in milliseconds. */
  get nextCheckMs (): number { return this.#hasAnswered ? MIN_CHECK_MS : Math.min(MAX_CHECK_MS, this.checkMs * 2) }

  /**
   * Keeps the channel open for a call, and checks the connection if an answer is overdue.
   *
   * @param onRetired - called if the connection is replaced before the call has ended
   * @param isAnswerDue - whether the server answers at once
   */
  use (onRetired: () => void, isAnswerDue: boolean): ChannelUse {
    this.#uses.add(onRetired)
    let timer: NodeJS.Timeout | undefined
    const settle = (): void => {
      if (timer === undefined) return
      clearTimeout(timer)
      this.#overdueTimers.delete(timer)
      timer = undefined
    }
    if (isAnswerDue && !this.#isRetired) {
      timer = setTimeout(() => {
        settle()
        this.#check()
      }, OVERDUE_MS)
      this.#overdueTimers.add(timer)
    }
    return {
      answered: () => {
        settle()
        this.#noteMessage()
      },
      end: isUnanswered => {
        settle()
        this.#uses.delete(onRetired)
        if (isUnanswered) this.#check()
        this.#closeIfUnused()
      }
    }
  }

  /**
   * Checks the connection unless some message arrives soon. Call it when the server is known to have one to send.
   *
   * @param delayMs - time for which the server may hold it back, in milliseconds
   */
  expectMessage (delayMs: number): void {
    const expectedSince = performance.now()
    const dueAt = expectedSince + OVERDUE_MS + delayMs
    if (this.#isRetired || this.#messageDueAt <= dueAt) return
    clearTimeout(this.#messageTimer)
    this.#messageDueAt = dueAt
    this.#messageTimer = setTimeout(() => {
      this.#messageDueAt = Number.POSITIVE_INFINITY
      if (this.#lastMessageAt < expectedSince) this.#check()
    }, OVERDUE_MS + delayMs)
  }

  /** Ends the channel once its calls have ended; they may still be answered. */
  retire (): void {
    this.#isRetired = true
    this.#clearTimers()
    for (const onRetired of [...this.#uses]) onRetired()
    this.#closeIfUnused()
  }

  /** Closes the connection at once; calls on it fail. */
  close (): void {
    this.#isRetired = true
    this.#clearTimers()
    this.client.close()
  }

  #noteMessage (): void {
    this.#hasAnswered = true
    this.#lastMessageAt = performance.now()
  }

  #closeIfUnused (): void {
    if (this.#isRetired && this.#uses.size === 0) this.client.close()
  }

  #clearTimers (): void {
    clearTimeout(this.#messageTimer)
    for (const timer of this.#overdueTimers) clearTimeout(timer)
    this.#overdueTimers.clear()
  }

  #check (): void {
    if (this.#isChecking || this.#isRetired) return
    this.#isChecking = true
    const dueAt = performance.now() + this.checkMs
    const call = this.client.makeUnaryRequest(ping.path, encodeMessage, bytes => decodeMessage(ping.response, bytes), {}, error => {
      clearTimeout(timer)
      this.#isChecking = false
      if (error === null || isFromServer(error, this.address)) this.#noteMessage()
    })
    const timer = setTimeout(() => { this.#endCheck(dueAt, () => { call.cancel() }) }, this.checkMs)
  }

  /** Decides that the connection is silent, unless this process has been blocked and may find the answer among what it has not read. */
  #endCheck (dueAt: number, cancel: () => void): void {
    if (!this.#isChecking || this.#isRetired) return
    const now = performance.now()
    if (now - dueAt > BLOCKED_MS) {
      setTimeout(() => { this.#endCheck(now + this.checkMs, cancel) }, this.checkMs)
      return
    }
    cancel()
    this.onSilent()
  }
}

/** Returns whether the error is an answer of the server, as one without this method gives. */
function isFromServer (error: ServiceError, address: string): boolean {
  return fromServiceError(error, address).kind === 'failed'
}
