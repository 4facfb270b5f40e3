/** Sends one request on a caller's connection and reads what comes. */
import { request, type Agent, type IncomingMessage } from 'node:http'
import { eventSchema, type StreamEvent } from './standinProtocol.js'
import type { AskedRequest, CallerEnd } from './observations.js'
import { HEADER } from './soakHeaders.js'
import { CUSTOMERS, MODEL, probePath, REQUEST_LIMIT_MS, SITE_HOST } from './soakSite.js'

/** Tokens of a prompt, for the product's estimates. */
const PROMPT_TOKENS = 200

/** How an exchange ended, and whether its connection may be used again. */
export interface Exchange {
  readonly end: CallerEnd
  readonly isKept: boolean
}

/**
 * @param asked - what to send
 * @param address - of the entry host
 * @param agent - holds the caller's one connection
 * @returns the end; never rejects
 */
export async function callOnce (asked: AskedRequest, address: string, agent: Agent): Promise<Exchange> {
  const [host, port] = address.split(':')
  return await new Promise(resolve => {
    let text = ''
    const cut = (reason: string, hasHead: boolean): void => {
      resolve({ end: { kind: 'cut', hasHead, reason, events: readEvents(asked, text) }, isKept: false })
    }
    const sent = request({ agent, host, port: Number(port), method: 'POST', path: pathOf(asked), headers: headersOf(asked) }, response => {
      response.on('data', (chunk: Buffer) => { text += chunk.toString() })
      response.on('error', error => { cut(error.message, true) })
      response.on('end', () => {
        if (!response.complete) return
        resolve({ end: answered(asked, response, text), isKept: response.headers.connection !== 'close' })
      })
      response.on('close', () => { cut('closed inside the answer', true) })
    })
    sent.on('error', error => { cut(error.message, false) })
    sent.end(asked.body)
  })
}

function answered (asked: AskedRequest, response: IncomingMessage, text: string): CallerEnd {
  const answerId = response.headers[HEADER.requestId]
  return { kind: 'answered', status: response.statusCode ?? 0, answerId: answerId?.toString(), body: text, events: readEvents(asked, text) }
}

function pathOf (asked: AskedRequest): string {
  return asked.kind === 'probe' ? probePath(asked.siteVersion) : `/${asked.kind}/`
}

function headersOf (asked: AskedRequest): Record<string, string> {
  const key = CUSTOMERS.find(({ name }) => name === asked.customer)?.keys[0] ?? ''
  return {
    host: SITE_HOST,
    [HEADER.requestId]: asked.id,
    [HEADER.key]: key,
    [HEADER.deadlineMs]: String(REQUEST_LIMIT_MS),
    [HEADER.work]: JSON.stringify(asked.work),
    'content-length': String(Buffer.byteLength(asked.body)),
    ...(asked.kind === 'generation' ? { [HEADER.model]: MODEL, [HEADER.promptTokens]: String(PROMPT_TOKENS) } : {})
  }
}

/** Whole events only: an event that was cut inside is none. */
function readEvents (asked: AskedRequest, text: string): StreamEvent[] {
  if (asked.work.kind !== 'stream') return []
  return text.split('\n\n').slice(0, -1).flatMap(event => {
    const data = event.split('\n').find(line => line.startsWith('data: '))
    const parsed = data === undefined ? undefined : eventSchema.safeParse(JSON.parse(data.slice('data: '.length)))
    return parsed?.success === true ? [parsed.data] : []
  })
}
