/** A caller that sends other bytes behind a call that runs, over the same connection, and reads all that comes back. */
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import type { CallerContext } from './Caller.js'
import type { RequestEnd, SentRequest } from './observations.js'
import { requestText } from './sendRequest.js'
import type { SeededRandom } from './SeededRandom.js'
import { HEADER } from './soakHeaders.js'
import { CUSTOMERS, SITE_HOST } from './soakSite.js'

/** What stands behind the call: half of a head, bytes that are no request, a head that is too large, half of a head before the caller closes one way, or another call. */
export const BYTES_BEHIND = ['half-head', 'no-request', 'large-head', 'half-head-and-end', 'another-call'] as const
export type BytesBehind = typeof BYTES_BEHIND[number]

const TEXT_BEHIND: Readonly<Record<Exclude<BytesBehind, 'another-call'>, string>> = {
  'half-head': `POST /unsafe/ HTTP/1.1\r\nhost: ${SITE_HOST}\r\n`,
  'half-head-and-end': `POST /unsafe/ HTTP/1.1\r\nhost: ${SITE_HOST}\r\n`,
  'no-request': '\u0000\u0001 what\r\n\r\n',
  'large-head': `POST /unsafe/ HTTP/1.1\r\nhost: ${SITE_HOST}\r\nfiller: ${'x'.repeat(80_000)}\r\n\r\n`
}

/** Work of the calls, in milliseconds: longer than the header timeout of the site and the interval at which it is checked, or short. */
const WORK_MS = [4300, 300]

/** Pause between a call and the bytes behind it, in milliseconds. */
const PAUSE_MS = 30

/** Time after which a caller gives up, in milliseconds; longer than any call may take. */
const GIVE_UP_MS = 13_000

/** Sends one call after another until stopped, each on a new connection. */
export class CallerWithBytesBehind {
  #isStopped = false
  #count = 0

  /**
   * @param name - unique among callers
   * @param bytes - what it sends behind its calls
   * @param random - chooses hosts and calls
   * @param context - shared with other callers
   */
  constructor (
    private readonly name: string, private readonly bytes: BytesBehind, private readonly random: SeededRandom, private readonly context: Pick<CallerContext, 'balancer' | 'history'>
  ) {}

  /** Sends calls until stopped; resolves after the last one has ended. */
  async run (): Promise<void> {
    while (!this.#isStopped) {
      await this.#sendNext()
      await sleep(PAUSE_MS)
    }
  }

  /** Sends no further calls after the current one. */
  stop (): void {
    this.#isStopped = true
  }

  async #sendNext (): Promise<void> {
    const host = this.context.balancer.choose(this.random)
    if (host === undefined) return
    const calls = [this.#draw(host.label), ...(this.bytes === 'another-call' ? [this.#draw(host.label)] : [])]
    const behind = this.bytes === 'another-call' ? requestText(calls[1] ?? calls[0] as SentRequest) : TEXT_BEHIND[this.bytes]
    for (const call of calls) this.context.history.recordRequest(call)
    const received = await exchange(host.addresses['http'] ?? '', requestText(calls[0] as SentRequest), behind, this.bytes === 'half-head-and-end')
    const answers = readAnswers(received)
    calls.forEach((request, index) => {
      const end: RequestEnd = answers[index] ?? { kind: 'cut', hasHead: false, reason: 'the connection ended without an answer', events: [] }
      // Connections on which bytes come that are no request may end without an answer.
      if (end.kind === 'answered' || this.bytes === 'another-call') this.context.history.recordOutcome({ request, end, endedAt: Date.now() })
    })
  }

  #draw (host: string): SentRequest {
    this.#count += 1
    const id = `${this.name}-${this.#count}`
    return { id, kind: 'unsafe', customer: this.random.pick(CUSTOMERS).name, work: { kind: 'plain', milliseconds: this.random.pick(WORK_MS) }, body: `body of ${id}`, host, sentAt: Date.now(), siteVersion: 0 }
  }
}

/** Returns all that comes back until the connection ends. */
async function exchange (address: string, call: string, behind: string, ends: boolean): Promise<string> {
  const [host = '', port] = address.split(':')
  return await new Promise(resolve => {
    let received = ''
    const socket = connect({ host, port: Number(port), allowHalfOpen: true })
    const timer = setTimeout(() => { socket.destroy() }, GIVE_UP_MS)
    socket.on('error', () => {})
    socket.on('data', chunk => { received += chunk.toString() })
    socket.on('end', () => { socket.end() })
    socket.on('close', () => {
      clearTimeout(timer)
      resolve(received)
    })
    socket.write(call)
    setTimeout(() => {
      if (!socket.writable) return
      socket.write(behind)
      if (ends) socket.end()
    }, PAUSE_MS)
  })
}

/** Splits what came back into answers with a length. */
function readAnswers (received: string): RequestEnd[] {
  const answers: RequestEnd[] = []
  for (let rest = received; rest.startsWith('HTTP/1.1 ');) {
    const headEnd = rest.indexOf('\r\n\r\n')
    if (headEnd < 0) break
    const head = rest.slice(0, headEnd)
    const valueOf = (name: string): string | undefined => new RegExp(`^${name}: (.*)$`, 'im').exec(head)?.[1]?.trim()
    const bodyAt = headEnd + '\r\n\r\n'.length
    const bodyEnd = bodyAt + Number(valueOf('content-length') ?? 0)
    const body = rest.slice(bodyAt, bodyEnd)
    answers.push({ kind: 'answered', status: Number(head.slice('HTTP/1.1 '.length, 'HTTP/1.1 000'.length)), answerId: valueOf(HEADER.requestId), body, events: [] })
    rest = rest.slice(bodyEnd)
  }
  return answers
}
