/** Second answers of an endpoint stand-in: copies of answers that belong to a request which has been answered already. */
import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { HEADER } from './soakHeaders.js'
import type { SecondAnswerKind } from './standinProtocol.js'

/** Delay between an answer and a copy that comes at once, in milliseconds; hosts may have sent the next request by then, or not. */
const AT_ONCE_DELAY_MS = 2

/** Share of a copy that is cut off. */
const CUT_SHARE = 0.5

/** Copies that are still to be written, by connection. */
export class SecondAnswers {
  readonly #copies = new WeakMap<Socket, string>()

  /**
   * Keeps or writes a copy of an answer.
   *
   * @param response - answer, of which nothing has been sent
   * @param kind - when the copy comes
   * @param status - status of the answer
   * @param fields - header fields of the answer
   * @param body - body of the answer
   */
  add (response: ServerResponse, kind: SecondAnswerKind, status: number, fields: Readonly<Record<string, string>>, body: string): void {
    const { socket } = response
    if (socket === null) return
    const names = Object.entries(fields).filter(([name]) => kind !== 'late-without-id' || name !== HEADER.requestId)
    const copy = `HTTP/1.1 ${status} x\r\n${names.map(([name, value]) => `${name}: ${value}\r\n`).join('')}content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`
    if (kind === 'at-once') response.once('finish', () => { setTimeout(() => { if (socket.writable) socket.write(copy) }, AT_ONCE_DELAY_MS) })
    else this.#copies.set(socket, kind === 'late-cut' ? copy.slice(0, Math.round(copy.length * CUT_SHARE)) : copy)
  }

  /**
   * Writes the copy that a connection still has to bring, ahead of the answer to its next request.
   *
   * @param socket - connection on which a request has come
   */
  writeDue (socket: Socket): void {
    const copy = this.#copies.get(socket)
    this.#copies.delete(socket)
    if (copy !== undefined && socket.writable) socket.write(copy)
  }
}
