/** Stand-in for a replica with a model, as the pages describe it: runs streams, tells its state, takes orders for new weights in the mode `wait`. */
import { once } from 'node:events'
import { createServer } from 'node:http'
import { now } from './Deployment.mjs'

const PREFIX = 'x-eelgrassmux-'

/** Time that new weights take, in milliseconds. */
const LOAD_MS = 1300

/** Age of the state that `GET /report` shows, in milliseconds. */
const REPORT_LAG_MS = 100

let made = 0

/** One start of a replica. */
export class Engine {
  version = 1
  seq = 0
  isBusy = false
  state = 'ready'
  /** What has run: request id, version and begin. */
  runs = []
  active = new Set()
  #waiting
  #shown

  constructor (deployment, record, { service, zone, model, slots = 64, eventMs = 30 }) {
    Object.assign(this, { deployment, record, service, zone, model, slots, eventMs })
    made += 1
    this.id = `i-engine${made}`
    this.server = createServer((message, response) => { this.#serve(message, response) })
    this.server.keepAliveTimeout = 5000
    this.#show()
  }

  async listen () {
    this.ip = this.deployment.nextIp()
    this.server.listen(0, this.ip)
    await once(this.server, 'listening')
    this.address = `${this.ip}:${this.server.address().port}`
  }

  get listed () {
    return { Service: this.service, Address: this.address, Zone: this.zone, Version: 'v1', Slots: this.slots, State: this.state, ColdRemainingMs: 0, Stage: 'colocated', Models: this.#shown.Models, Id: this.id }
  }

  close () {
    clearInterval(this.#waiting)
    this.server.closeAllConnections()
    this.server.close()
  }

  #show () {
    this.#shown = { Stage: 'colocated', Models: [{ Name: this.model, Version: this.version, Adapters: [] }], Busy: this.isBusy, Seq: this.seq, Queued: 0, Active: this.active.size, KvUsed: 0, KvTotal: 100_000, Handles: 0 }
  }

  #changed () { setTimeout(() => { this.#show() }, REPORT_LAG_MS) }

  #serve (message, response) {
    const chunks = []
    message.on('data', chunk => chunks.push(chunk))
    message.on('end', () => { this.#answer(message, response, Buffer.concat(chunks)) })
  }

  #json (response, status, body, headers = {}) {
    response.writeHead(status, { 'content-type': 'application/json', ...headers })
    response.end(JSON.stringify(body))
  }

  #answer (message, response, body) {
    const expected = message.headers[PREFIX + 'expect-instance']
    const id = message.headers[PREFIX + 'request-id']
    const echo = id === undefined ? {} : { [PREFIX + 'request-id']: id }
    if (expected !== undefined && expected !== this.id) return this.#json(response, 421, {}, { ...echo, [PREFIX + 'not-executed']: '1' })
    if (message.url === '/health') return this.#json(response, 200, {}, { [PREFIX + 'replica-id']: this.id })
    if (message.url === '/report') return this.#json(response, 200, this.#shown)
    if (message.url.startsWith('/kv-list')) return this.#json(response, 200, { Epoch: 1, Next: 1, Held: [] })
    if (message.url === '/order') return this.#order(JSON.parse(body.toString()), message, response)
    this.#run(message, response, id, echo)
  }

  #order (order, message, response) {
    this.record.note(`${this.id} gets an order for version ${order.Version} from ${order.Holder}, fence ${order.Fence}`)
    if (order.Version <= this.version) return this.#json(response, 200, {})
    if (this.isBusy || (order.Precondition !== undefined && order.Precondition !== this.seq)) return this.#json(response, 409, {})
    this.isBusy = true
    this.seq += 1
    this.#changed()
    this.#json(response, 202, {})
    this.#waiting = setInterval(() => {
      if (this.active.size > 0) return
      clearInterval(this.#waiting)
      setTimeout(() => {
        this.version = order.Version
        this.isBusy = false
        this.record.note(`${this.id} has loaded version ${order.Version}`)
        this.#changed()
      }, LOAD_MS)
    }, 10)
  }

  #run (message, response, id, echo) {
    const reject = (status, why) => {
      this.record.note(`${this.id} rejects ${id}: ${why}`)
      this.#json(response, status, {}, { ...echo, [PREFIX + 'not-executed']: '1' })
    }
    const wanted = message.headers[PREFIX + 'expect-version']
    if (this.isBusy) return reject(503, 'an order is in progress')
    if (this.active.size >= this.slots) return reject(503, 'full')
    if (wanted !== undefined && Number(wanted) !== this.version) return reject(421, `has version ${this.version}`)
    const run = { id, version: this.version, at: now() }
    this.runs.push(run)
    this.active.add(run)
    this.record.note(`${this.id} runs ${id} on version ${run.version}`)
    const events = Number((message.headers[PREFIX + 'token-count'] ?? '1,1').split(',')[1])
    let event = 0
    response.writeHead(200, { 'content-type': 'text/event-stream', [PREFIX + 'server-stamp']: `${this.id}.${id}`, [PREFIX + 'replica-load']: `${this.active.size},0,${this.slots}`, [PREFIX + 'weight-versions']: String(run.version), ...echo })
    const timer = setInterval(() => {
      event += 1
      response.write(`id: ${event}\ndata: piece ${event} of ${id}\n\n`)
      if (event >= events) response.end()
    }, this.eventMs)
    response.on('close', () => {
      clearInterval(timer)
      this.active.delete(run)
    })
  }
}
