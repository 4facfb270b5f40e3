/** Stand-in for a replica of a plain service, as the pages describe it. */
import { once } from 'node:events'
import { createServer } from 'node:http'
import { now } from './Deployment.mjs'

const PREFIX = 'x-eelgrassmux-'

let made = 0

/** One start of a replica. It drops a request whose connection closes. */
export class PlainServer {
  state = 'ready'
  /** What has run: request id and begin. */
  runs = []
  #active = 0

  /** @param workMs - returns the time that the next request takes, in milliseconds */
  constructor (deployment, record, { service, zone, slots = 60, workMs }) {
    Object.assign(this, { deployment, record, service, zone, slots, workMs })
    made += 1
    this.id = `i-plain${made}`
    this.server = createServer((message, response) => { this.#answer(message, response) })
    this.server.keepAliveTimeout = 5000
  }

  async listen () {
    this.ip = this.deployment.nextIp()
    this.server.listen(0, this.ip)
    await once(this.server, 'listening')
    this.address = `${this.ip}:${this.server.address().port}`
  }

  get listed () {
    return { Service: this.service, Address: this.address, Zone: this.zone, Version: 'v1', Slots: this.slots, State: this.state, ColdRemainingMs: 0, Id: this.id }
  }

  close () {
    this.server.closeAllConnections()
    this.server.close()
  }

  #answer (message, response) {
    message.resume()
    const id = message.headers[PREFIX + 'request-id']
    const expected = message.headers[PREFIX + 'expect-instance']
    const headers = { ...(id === undefined ? {} : { [PREFIX + 'request-id']: id }), [PREFIX + 'replica-load']: `${this.#active},0,${this.slots}` }
    const end = (status, more, body) => {
      response.writeHead(status, { ...headers, ...more, 'content-length': body.length })
      response.end(body)
    }
    if (message.url === '/health') return end(200, { [PREFIX + 'replica-id']: this.id }, '')
    if (expected !== undefined && expected !== this.id) return end(421, { [PREFIX + 'not-executed']: '1' }, '')
    if (this.#active >= this.slots) return end(503, { [PREFIX + 'not-executed']: '1' }, '')
    this.#active += 1
    this.runs.push({ id, at: now() })
    const timer = setTimeout(() => { end(200, { [PREFIX + 'server-stamp']: `${this.id}.${id}` }, `answer to ${id}`) }, this.workMs())
    response.on('close', () => {
      clearTimeout(timer)
      this.#active -= 1
    })
  }
}
