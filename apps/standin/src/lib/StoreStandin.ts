/** Stand-in for a KV cache store, with memory and disk tiers behind one link of limited bandwidth. */
import { setTimeout as sleep } from 'node:timers/promises'
import { H3 } from 'h3'
import { z } from 'zod'
import { sha256 } from './blockContent.js'
import { errorAnswer } from './httpApp.js'

/** Settings of the stand-in store. */
export interface StoreStandinSettings {
  readonly memoryBytes: number
  readonly diskBytes: number
  readonly linkBytesPerSecond: number
  readonly incarnation: number
}

interface StoredObject {
  readonly name: string
  readonly customer: string
  readonly keys: readonly string[]
  readonly tokens: number
  readonly firstBlock: number
  readonly sha256: string
  readonly tier: 'memory' | 'disk'
  readonly content: Uint8Array
}

const metaSchema = z.object({ customer: z.string(), keys: z.array(z.string()), tokens: z.number(), firstBlock: z.number() })

/** Bytes that a read sends over the link at a time. */
const CHUNK_BYTES = 64 * 1024

/** Additional latency of reads from disk, in milliseconds. */
const DISK_SEEK_MS = 4

/** Simulates one store. */
export class StoreStandin {
  readonly #objects = new Map<string, StoredObject>()
  #linkFreeAt = 0
  #linkBytesPerMs: number

  /** @param settings - settings of the store */
  constructor (private readonly settings: StoreStandinSettings) {
    this.#linkBytesPerMs = settings.linkBytesPerSecond / 1000
  }

  /** @returns the HTTP routes */
  routes (): H3 {
    const app = new H3()
    app.get('/load', () => ({
      incarnation: this.settings.incarnation,
      usedBytes: this.#usedBytes(),
      capacityBytes: this.settings.memoryBytes + this.settings.diskBytes,
      backlogBytes: Math.round(Math.max(0, this.#linkFreeAt - performance.now()) * this.#linkBytesPerMs)
    }))
    app.get('/objects', () => ({
      objects: [...this.#objects.values()].map(({ content, ...object }) => ({ ...object, bytes: content.length }))
    }))
    app.get('/objects/:name', event => {
      const object = this.#objects.get(event.context.params?.name ?? '')
      return object === undefined ? errorAnswer(404, 'no-such-object') : this.#send(object)
    })
    app.put('/objects/:name', async event => {
      const name = event.context.params?.name ?? ''
      const meta = metaSchema.parse(JSON.parse(event.req.headers.get('x-object-meta') ?? '{}'))
      const content = new Uint8Array(await event.req.arrayBuffer())
      return await this.#put(name, meta, content, event.req.headers.get('x-object-sha256') ?? '')
    })
    app.delete('/objects/:name', event => {
      this.#objects.delete(event.context.params?.name ?? '')
      return { ok: true }
    })
    app.post('/standin/link/:bytesPerSecond', event => {
      this.#linkBytesPerMs = Number(event.context.params?.bytesPerSecond) / 1000
      return { ok: true }
    })
    app.post('/standin/fill', () => {
      const content = new Uint8Array(Math.max(0, this.settings.memoryBytes + this.settings.diskBytes - this.#usedBytes()))
      this.#objects.set('filler', { name: 'filler', customer: 'none', keys: [], tokens: 0, firstBlock: 0, sha256: '', tier: 'disk', content })
      return { ok: true }
    })
    return app
  }

  async #put (name: string, meta: z.infer<typeof metaSchema>, content: Uint8Array, checksum: string): Promise<Response> {
    const used = this.#usedBytes()
    if (used + content.length > this.settings.memoryBytes + this.settings.diskBytes) return errorAnswer(507, 'store-full')
    await this.#waitForLink(content.length)
    if (sha256(content) !== checksum) return errorAnswer(409, 'checksum-differs')
    const tier = used + content.length <= this.settings.memoryBytes ? 'memory' : 'disk'
    this.#objects.set(name, { name, ...meta, sha256: checksum, tier, content })
    return Response.json({ bytes: content.length, sha256: checksum, tier })
  }

  #send (object: StoredObject): Response {
    let offset = 0
    const body = new ReadableStream<Uint8Array>({
      pull: async controller => {
        if (offset === 0 && object.tier === 'disk') await sleep(DISK_SEEK_MS)
        const chunk = object.content.subarray(offset, offset + CHUNK_BYTES)
        await this.#waitForLink(chunk.length)
        offset += chunk.length
        controller.enqueue(chunk)
        if (offset >= object.content.length) controller.close()
      }
    })
    return new Response(body, { headers: { 'content-length': String(object.content.length) } })
  }

  /** Waits until the link has transferred the bytes. Transfers share the link in the order of their calls. */
  async #waitForLink (bytes: number): Promise<void> {
    const start = Math.max(this.#linkFreeAt, performance.now())
    this.#linkFreeAt = start + bytes / this.#linkBytesPerMs
    await sleep(this.#linkFreeAt - performance.now())
  }

  #usedBytes (): number {
    let used = 0
    for (const { content } of this.#objects.values()) used += content.length
    return used
  }
}
