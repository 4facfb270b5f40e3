/** A stand-in for a replica that runs a model, as PROTOCOL.md describes it: streams, kept KV cache, events, reports and orders. */
import { PlainReplica } from './replicas.mjs'

const EVENTS_WAIT_MS = 1000

/** A replica with a model. Parts of prompts are kept under the cache salt and found only under the same text. */
export class Engine extends PlainReplica {
  /** Kept parts by salt and id, with the request that made them. */
  kept = new Map()
  acceptedOrders = 0
  #events = []
  #epoch = Math.floor(Math.random() * 100_000)

  constructor (deployment, { service, model, version = 1, slots = 16, events = 8, eventMs = 15, capacity = 90_000 }) {
    super(deployment, { service, slots })
    this.model = model
    this.version = version
    this.events = events
    this.eventMs = eventMs
    this.capacity = capacity
  }

  get models () { return [{ Name: this.model, Version: this.version, Adapters: [] }] }

  get listed () { return { ...super.listed, Stage: 'colocated', Models: this.models } }

  headers (request) {
    return { ...super.headers(request), 'X-Eelgrassmux-Weight-Versions': String(this.version) }
  }

  handle (request, response, body) {
    const url = new URL(request.url, 'http://replica')
    const answer = (status, value) => {
      const text = JSON.stringify(value)
      response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) })
      response.end(text)
      return true
    }
    if (request.method === 'GET' && url.pathname === '/report') return answer(200, { Stage: 'colocated', Models: this.models, Busy: false, Seq: this.acceptedOrders, Queued: 0, Active: this.running, KvUsed: 0, KvTotal: this.capacity, Handles: 0 })
    if (request.method === 'GET' && url.pathname === '/kv-list') return answer(200, { Epoch: this.#epoch, Next: this.#events.length, Held: [...this.kept.values()].map(({ salt, id, tokens }) => [salt, id, tokens, this.model]) })
    if (request.method === 'GET' && url.pathname === '/kv-events') {
      const since = Number(url.searchParams.get('Since') ?? 0)
      const reply = () => answer(200, { Epoch: this.#epoch, Next: this.#events.length, Lost: false, Events: this.#events.slice(since) })
      if (this.#events.length > since) return reply()
      setTimeout(reply, Math.min(EVENTS_WAIT_MS, Number(request.headers['wait-ms'] ?? 0)))
      return true
    }
    if (request.method === 'POST' && url.pathname === '/order') return this.order(JSON.parse(body.toString()), answer)
    return false
  }

  /** Loads weights at once, and discards what is kept. */
  order ({ Op, Version, Holder, Fence, Precondition }, answer) {
    if (Op !== 'Version' || Holder === undefined || Fence === undefined) return answer(400, {})
    if (Precondition !== undefined && Precondition !== this.acceptedOrders) return answer(409, {})
    if (Version === this.version) return answer(200, {})
    this.acceptedOrders += 1
    this.version = Version
    this.kept.clear()
    return answer(202, {})
  }

  run (request, response) {
    const expected = request.headers['x-eelgrassmux-expect-version']
    if (expected !== undefined && Number(expected) !== this.version) return this.reject(request, response, 421)
    if (this.running >= this.slots) return this.reject(request, response, 503)
    this.running += 1
    const salt = request.headers['x-eelgrassmux-cache-salt'] ?? ''
    const run = { id: request.headers['x-eelgrassmux-request-id'], at: performance.now(), tenant: request.headers['x-eelgrassmux-tenant'], salt, used: [] }
    this.runs.push(run)
    this.#read(run, request.headers['x-eelgrassmux-prefix-hash'] ?? '')
    response.writeHead(200, { ...this.headers(request), 'Content-Type': 'text/event-stream', 'X-Eelgrassmux-Server-Stamp': `stamp.${this.id}.${run.id}` })
    let made = 0
    const timer = setInterval(() => {
      made += 1
      response.write(`id: ${made}\ndata: piece ${made}\n\n`)
      if (made < this.events) return
      clearInterval(timer)
      response.end()
    }, this.eventMs)
    response.on('close', () => {
      clearInterval(timer)
      this.running -= 1
    })
  }

  /** Finds the parts of a prompt that are kept, as long as all before them are, and keeps the others. */
  #read (run, parts) {
    let isFound = true
    for (const part of parts.split(',').filter(text => text !== '')) {
      const [id, tokens] = part.split(':')
      const key = `${run.salt} ${id}`
      const kept = this.kept.get(key)
      isFound &&= kept !== undefined
      if (isFound) run.used.push({ id, tokens: Number(tokens), madeBy: kept.madeBy })
      else {
        this.kept.set(key, { salt: run.salt, id, tokens: Number(tokens), madeBy: { id: run.id, tenant: run.tenant } })
        this.#events.push([this.#events.length + 1, '+', run.salt, id, Number(tokens), this.model])
      }
    }
  }
}
