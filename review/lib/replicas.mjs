/** Stand-ins for replicas, as PROTOCOL.md describes them. */
import { createServer } from 'node:http'

let nextReplica = 0

/** A replica of a service without a model. */
export class PlainReplica {
  isShown = true
  state = 'ready'
  running = 0
  /** Requests that ran, with the time at which they arrived. */
  runs = []
  #server

  constructor (deployment, { service, slots = 8, workMs = 5 }) {
    nextReplica += 1
    this.id = `i-${nextReplica.toString(16).padStart(8, '0')}`
    this.service = service
    this.slots = slots
    this.workMs = workMs
    this.deployment = deployment
    this.host = `${deployment.net}.${100 + nextReplica}`
  }

  get address () { return `${this.host}:${this.deployment.ports.replica}` }

  /** Its entry in the platform's list. */
  get listed () {
    return { Id: this.id, Service: this.service, Address: this.address, Zone: 'hall-a', Version: 'v1', Slots: this.slots, State: this.state, ColdRemainingMs: 0 }
  }

  async listen () {
    this.#server = createServer({ keepAliveTimeout: 15_000 }, (request, response) => { this.#read(request, response) })
    await new Promise(resolve => { this.#server.listen({ host: this.host, port: this.deployment.ports.replica }, resolve) })
    this.deployment.onClose(() => { this.close() })
    this.deployment.instances.push(this)
  }

  close () {
    this.#server.closeAllConnections()
    this.#server.close()
  }

  headers (request) {
    return {
      ...(this.state === 'draining' ? { Connection: 'close' } : {}),
      'X-Eelgrassmux-Replica-Id': this.id,
      'X-Eelgrassmux-Replica-Load': `${this.running},0,${this.slots}`,
      ...(request.headers['x-eelgrassmux-request-id'] === undefined ? {} : { 'X-Eelgrassmux-Request-Id': request.headers['x-eelgrassmux-request-id'] })
    }
  }

  #read (request, response) {
    const chunks = []
    request.on('data', chunk => { chunks.push(chunk) })
    request.on('end', () => {
      const expected = request.headers['x-eelgrassmux-expect-instance']
      if (expected !== undefined && expected !== this.id) this.reject(request, response, 421)
      else if (request.url === '/health') this.#answerHealth(request, response)
      else if (!this.handle(request, response, Buffer.concat(chunks))) this.run(request, response, Buffer.concat(chunks))
    })
  }

  /** Handles calls other than requests. @returns whether the call was one */
  handle () { return false }

  reject (request, response, status) {
    response.writeHead(status, { ...this.headers(request), 'X-Eelgrassmux-Not-Executed': '1', 'Content-Length': '0' })
    response.end()
  }

  #answerHealth (request, response) {
    response.writeHead(this.state === 'ready' ? 200 : 503, { ...this.headers(request), 'Content-Length': '0' })
    response.end()
  }

  run (request, response) {
    if (this.running >= this.slots) return this.reject(request, response, 503)
    this.running += 1
    const run = { id: request.headers['x-eelgrassmux-request-id'], at: performance.now(), tenant: request.headers['x-eelgrassmux-tenant'] }
    this.runs.push(run)
    setTimeout(() => {
      this.running -= 1
      const body = `${this.service} ${this.id} ${run.id}\n`
      response.writeHead(200, { ...this.headers(request), 'X-Eelgrassmux-Server-Stamp': `stamp.${this.id}.${run.id}`, 'Content-Length': Buffer.byteLength(body) })
      response.end(body)
    }, this.workMs)
  }
}
