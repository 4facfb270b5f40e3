/** Sends one request on the connection of a caller and reads the answer. */
import { request, type Agent, type IncomingMessage } from 'node:http'
import { eventSchema, type StreamEvent } from './standinProtocol.js'
import type { SentRequest, RequestEnd } from './observations.js'
import { HEADER } from './soakHeaders.js'
import { CUSTOMERS, MODEL, probePath, REQUEST_TIMEOUT_MS, SITE_HOST } from './soakSite.js'

/** Number of tokens of each prompt, which entry hosts use for their estimates. */
const PROMPT_TOKENS = 200

/** How an exchange ended, and whether its connection can be reused. */
export interface Exchange {
  readonly end: RequestEnd
  readonly isReusable: boolean
}

/**
 * @param callerRequest - request to send
 * @param address - address of the entry host
 * @param agent - agent with the connection of the caller
 * @param readPauseMs - pause after each part of the answer that is read, in milliseconds; 0 to read it as it comes
 * @returns how the exchange ended; never rejects
 */
export async function sendRequest (callerRequest: SentRequest, address: string, agent: Agent, readPauseMs = 0): Promise<Exchange> {
  const [host, port] = address.split(':')
  return await new Promise(resolve => {
    let text = ''
    const cut = (reason: string, hasHead: boolean): void => {
      resolve({ end: { kind: 'cut', hasHead, reason, events: readEvents(callerRequest, text) }, isReusable: false })
    }
    const httpRequest = request({ agent, host, port: Number(port), method: 'POST', path: pathOf(callerRequest), headers: headersOf(callerRequest) }, response => {
      response.on('data', (chunk: Buffer) => {
        text += chunk.toString()
        if (readPauseMs === 0) return
        response.pause()
        setTimeout(() => { response.resume() }, readPauseMs)
      })
      response.on('error', error => { cut(error.message, true) })
      response.on('end', () => {
        if (!response.complete) return
        resolve({ end: answered(callerRequest, response, text), isReusable: response.headers.connection !== 'close' })
      })
      response.on('close', () => { cut('connection closed before the end of the answer', true) })
    })
    httpRequest.on('error', error => { cut(error.message, false) })
    httpRequest.end(callerRequest.body)
  })
}

/**
 * @param callerRequest - request to send
 * @returns the bytes of the request
 */
export function requestText (callerRequest: SentRequest): string {
  const fields = Object.entries(headersOf(callerRequest)).map(([name, value]) => `${name}: ${value}\r\n`)
  return `POST ${pathOf(callerRequest)} HTTP/1.1\r\n${fields.join('')}\r\n${callerRequest.body}`
}

function answered (callerRequest: SentRequest, response: IncomingMessage, text: string): RequestEnd {
  const answerId = response.headers[HEADER.requestId]
  return { kind: 'answered', status: response.statusCode ?? 0, answerId: answerId?.toString(), body: text, events: readEvents(callerRequest, text) }
}

function pathOf (callerRequest: SentRequest): string {
  return callerRequest.kind === 'probe' ? probePath(callerRequest.siteVersion) : `/${callerRequest.kind}/`
}

function headersOf (callerRequest: SentRequest): Record<string, string> {
  const key = CUSTOMERS.find(({ name }) => name === callerRequest.customer)?.keys[0] ?? ''
  return {
    host: SITE_HOST,
    [HEADER.requestId]: callerRequest.id,
    [HEADER.key]: key,
    [HEADER.deadlineMs]: String(callerRequest.deadlineMs ?? REQUEST_TIMEOUT_MS),
    [HEADER.work]: JSON.stringify(callerRequest.work),
    'content-length': String(Buffer.byteLength(callerRequest.body)),
    ...(callerRequest.takenUp === undefined ? {} : { [HEADER.resumes]: callerRequest.takenUp.first, [HEADER.lastEvent]: String(callerRequest.takenUp.lastEvent) }),
    ...(callerRequest.part === undefined ? {} : { [HEADER.part]: callerRequest.part }),
    ...(callerRequest.kind === 'generation' ? { [HEADER.model]: MODEL, [HEADER.promptTokens]: String(PROMPT_TOKENS) } : {})
  }
}

/** Returns complete events only; an event that was cut off is left out. */
function readEvents (callerRequest: SentRequest, text: string): StreamEvent[] {
  if (callerRequest.work.kind !== 'stream') return []
  return text.split('\n\n').slice(0, -1).flatMap(event => {
    const data = event.split('\n').find(line => line.startsWith('data: '))
    const parsed = data === undefined ? undefined : eventSchema.safeParse(JSON.parse(data.slice('data: '.length)))
    return parsed?.success === true ? [parsed.data] : []
  })
}
