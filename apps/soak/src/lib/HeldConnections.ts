/** Connections of callers that take up the memory of one entry host: without a request, or with large bodies that stop before their end or come slowly. */
import { connect, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import type { SentRequest } from './observations.js'
import type { Incarnation } from './ProcessSlot.js'
import type { RequestHistory } from './RequestHistory.js'
import { requestText } from './sendRequest.js'
import { CUSTOMERS, MAX_BODY_BYTES } from './soakSite.js'

/** What comes over the connections. */
export const LARGE_BODIES = ['stopped', 'slow'] as const
export type Held = 'nothing' | typeof LARGE_BODIES[number]

/** Bytes that a body that stops lacks at its end. */
const MISSING_BYTES = 1000

/** A slow body comes in parts of so many bytes, at this interval in milliseconds: 4 MB in three seconds. */
const PART_BYTES = 65_536
const PART_INTERVAL_MS = 50

/** Pause before a connection that the host has closed is opened again, in milliseconds. */
const REOPEN_PAUSE_MS = 250

/** Connections that are opened in a row, and the pause after them in milliseconds. */
const OPENED_IN_A_ROW = 100
const OPEN_PAUSE_MS = 20

const BODY = Buffer.alloc(MAX_BODY_BYTES, 'b')
const BODY_TEXT = BODY.toString()

/** Holds connections open to one host at a time. */
export class HeldConnections {
  readonly #sockets = new Set<Socket>()
  #isOver = false
  #count = 0

  /**
   * @param name - unique prefix of the ids of the requests
   * @param held - what comes over the connections
   * @param currentHost - returns the running process of the host
   * @param history - told of each request
   */
  constructor (private readonly name: string, private readonly held: Held, private readonly currentHost: () => Incarnation | undefined, private readonly history: RequestHistory) {}

  /**
   * @param count - number of connections
   * @param durationMs - how long they are held, in milliseconds; those that are closed are opened again
   */
  async hold (count: number, durationMs: number): Promise<void> {
    const end = sleep(durationMs)
    for (let opened = 0; opened < count; opened += 1) {
      this.#open()
      if (opened % OPENED_IN_A_ROW === 0) await sleep(OPEN_PAUSE_MS)
    }
    await end
    this.#isOver = true
    for (const socket of this.#sockets) socket.destroy()
  }

  #open (): void {
    const host = this.currentHost()
    if (this.#isOver) return
    if (host === undefined) {
      setTimeout(() => { this.#open() }, REOPEN_PAUSE_MS)
      return
    }
    const [address = '', port] = (host.addresses['http'] ?? '').split(':')
    const socket = connect({ host: address, port: Number(port) })
    this.#sockets.add(socket)
    socket.on('error', () => {})
    socket.on('data', () => {})
    socket.on('close', () => {
      this.#sockets.delete(socket)
      setTimeout(() => { this.#open() }, REOPEN_PAUSE_MS)
    })
    if (this.held !== 'nothing') socket.on('connect', () => { void this.#sendBody(socket, host.label) })
  }

  async #sendBody (socket: Socket, host: string): Promise<void> {
    this.#count += 1
    const request: SentRequest = {
      id: `${this.name}-${this.#count}`, kind: 'unsafe', customer: CUSTOMERS[this.#count % CUSTOMERS.length]?.name ?? '', work: { kind: 'plain', milliseconds: 0 }, body: BODY_TEXT, host, sentAt: Date.now(), siteVersion: 0
    }
    this.history.recordRequest(request)
    const text = requestText(request)
    socket.write(text.slice(0, text.length - BODY.length))
    if (this.held === 'stopped') {
      socket.write(BODY.subarray(MISSING_BYTES))
      return
    }
    for (let at = 0; at < BODY.length && socket.writable; at += PART_BYTES) {
      socket.write(BODY.subarray(at, at + PART_BYTES))
      await sleep(PART_INTERVAL_MS)
    }
  }
}
