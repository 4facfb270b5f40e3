/**
 * Guards against streams that reach the caller as complete although their endpoint broke them off. A response that has
 * neither a length nor chunks ends with its connection; if that ended in order inside an event, the caller got a
 * properly framed response with half an event at its end.
 */
import { connect } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { FakeEndpoint, streamEvent, type Behaviour } from './harness/FakeEndpoint.js'
import { PLAIN_HEADERS } from './harness/PlainCodec.js'
import { RoutedHost } from './harness/RoutedHost.js'

type Framing = 'length' | 'chunks' | 'connection'

const LINE_ENDS = [['LF', '\n'], ['CRLF', '\r\n'], ['CR', '\r']] as const
const FRAMINGS: Framing[] = ['connection', 'chunks', 'length']
const WHOLE = streamEvent(1) + streamEvent(2) + streamEvent(3)

/** Sends a body whose end is marked as given, and closes the connection in order. */
function responds (framing: Framing, body: string, contentType = 'text/event-stream'): Behaviour {
  return request => {
    const { socket } = request
    const head = ['HTTP/1.1 200 OK', `${PLAIN_HEADERS.id}: ${String(request.headers[PLAIN_HEADERS.id])}`]
    if (contentType !== '') head.push(`content-type: ${contentType}`)
    if (framing === 'length') head.push(`content-length: ${body.length}`)
    if (framing === 'chunks') head.push('transfer-encoding: chunked')
    if (framing !== 'length') head.push('connection: close')
    socket.write(head.join('\r\n') + '\r\n\r\n')
    const framed = framing === 'chunks' ? (body === '' ? '' : `${body.length.toString(16)}\r\n${body}\r\n`) + '0\r\n\r\n' : body
    setTimeout(() => { framing === 'length' ? socket.write(framed) : socket.end(framed) }, 20)
  }
}

describe('a response that its endpoint has broken off', () => {
  let host: RoutedHost

  async function startHost (...behaviours: Behaviour[]): Promise<void> {
    host = new RoutedHost(behaviours.map((behaviour, number) => new FakeEndpoint(`e${number}`, behaviour)))
    await host.start()
  }

  /** Sends a request as a caller of HTTP/1.0, to which the end of the connection is the end of the response. */
  async function sendAsOldCaller (path: string): Promise<{ body: string, end: string }> {
    return await new Promise(resolve => {
      let text = ''
      const socket = connect(host.port, '127.0.0.1', () => { socket.write(`GET ${path} HTTP/1.0\r\nhost: h\r\n${PLAIN_HEADERS.id}: r1\r\n\r\n`) })
      socket.on('data', chunk => { text += String(chunk) })
      const settle = (end: string) => () => { resolve({ body: text.slice(text.indexOf('\r\n\r\n') + 4), end }) }
      socket.on('end', settle('in order'))
      socket.on('error', settle('reset'))
    })
  }

  afterEach(async () => { await host.close() })

  describe.each(LINE_ENDS)('with lines that end with %s', (_name, lineEnd) => {
    const events = WHOLE.replaceAll('\n', lineEnd)

    describe.each(FRAMINGS)('whose end is marked by the %s', framing => {
      it.each([['half a line', 8], ['a whole line', 'id: 2'.length + lineEnd.length]])('does not look complete if it ends after %s of an event', async (_cut, bytes) => {
        await startHost(responds(framing, events.slice(0, streamEvent(1).replaceAll('\n', lineEnd).length + bytes)))
        expect(await host.sendRequest('/stream/1')).toMatchObject({ isWhole: false })
      })

      it('is complete after the last event', async () => {
        await startHost(responds(framing, events))
        expect(await host.sendRequest('/stream/1')).toEqual(expect.objectContaining({ status: 200, isWhole: true, body: events }))
      })

      it('is complete after a comment', async () => {
        const body = `${events}: end${lineEnd}`
        await startHost(responds(framing, body))
        expect(await host.sendRequest('/stream/1')).toMatchObject({ status: 200, isWhole: true, body })
        expect(await host.sendRequest('/resumable/1')).toMatchObject({ status: 200, isWhole: true, body })
      })

      it('goes on at another endpoint, without half an event, if it may be resumed', async () => {
        let received = 0
        const breaksOff = responds(framing, events.slice(0, streamEvent(1).replaceAll('\n', lineEnd).length + 8))
        const sendsRest = responds(framing, events.slice(streamEvent(1).replaceAll('\n', lineEnd).length))
        const firstBreaks: Behaviour = (request, response, body) => { (received++ === 0 ? breaksOff : sendsRest)(request, response, body) }
        await startHost(firstBreaks, firstBreaks)
        const outcome = await host.sendRequest('/resumable/1')
        expect(outcome).toMatchObject({ status: 200, isWhole: true })
        expect(outcome.body.match(/id: \d/g)).toEqual(['id: 1', 'id: 2', 'id: 3'])
      })
    })
  })

  describe.each(FRAMINGS)('without events, whose end is marked by the %s', framing => {
    it.each(['/stream/1', '/resumable/1'])('is complete on %s if it is no stream of events', async path => {
      await startHost(responds(framing, '{"a":1}', 'application/json'))
      expect(await host.sendRequest(path)).toMatchObject({ status: 200, isWhole: true, body: '{"a":1}' })
    })

    it('is complete if its type is not stated, unless nothing but the connection marks its end', async () => {
      await startHost(responds(framing, 'half a line', ''))
      expect(await host.sendRequest('/stream/1')).toMatchObject({ isWhole: framing !== 'connection' })
    })

    it.each(['/stream/1', '/resumable/1'])('is complete on %s if it is empty', async path => {
      await startHost(responds(framing, ''))
      expect(await host.sendRequest(path)).toMatchObject({ status: 200, isWhole: true, body: '' })
    })

    it('is complete on a route without streams', async () => {
      await startHost(responds(framing, 'half a line', 'text/event-stream'))
      expect(await host.sendRequest('/safe/1')).toMatchObject({ status: 200, isWhole: true, body: 'half a line' })
    })
  })

  describe('to a caller that takes the end of the connection for the end of the response', () => {
    it('ends with a reset', async () => {
      await startHost(responds('connection', WHOLE.slice(0, -8)))
      expect(await sendAsOldCaller('/stream/1')).toMatchObject({ end: 'reset' })
    })

    it('ends in order if it is complete', async () => {
      await startHost(responds('connection', WHOLE))
      expect(await sendAsOldCaller('/stream/1')).toEqual({ end: 'in order', body: WHOLE })
    })
  })
})
