/**
 * Stand-in for a model engine. Simulates continuous batching with one prefill at a
 * time, a bounded prefix cache, delayed cache events and load reports, imports,
 * exports, orders and weight versions.
 */
import { blockKeys, TOKENS_PER_BLOCK, tokenCount } from '@eelgrassmux/cache/blockKeys'
import type {
  EngineReport, ExportRequest, ExportResponse, ImportRequest, OrderRequest, RunMessage, RunRequest
} from '@eelgrassmux/backends/engineProtocol'
import { request as httpRequest } from 'undici'
import { answerTokens } from './standinAnswer.js'
import { objectContent, sha256 } from './blockContent.js'
import { PrefixCache } from './PrefixCache.js'

/** Settings of the stand-in engine. Times are in milliseconds. */
export interface EngineStandinSettings {
  readonly model: string
  readonly version: string
  readonly maxRunning: number
  readonly prefillTokensPerMs: number
  readonly decodeMs: number
  readonly cacheBlocks: number
  readonly bytesPerToken: number
  readonly eventLagMs: number
  readonly reportLagMs: number
  readonly weightStore: string
  readonly honoursFencing: boolean
  /** A run whose prompt contains this text crashes the engine; empty to disable. */
  readonly poisonText: string
  /** Called {@link POISON_CRASH_DELAY_MS} after the start of such a run; ends the process. */
  readonly crash: () => void
  /** Sends some chunks twice and swaps adjacent ones, to simulate a stream with duplicates and reordering. */
  readonly disorder: boolean
  readonly incarnation: number
}

/** Reason why a run was not started. */
export type EngineRefusal = 'leaving' | 'full' | 'version-mismatch' | 'unknown-import'

interface EngineRun {
  readonly request: RunRequest
  readonly version: string
  readonly keys: readonly string[]
  readonly tokenAt: (offset: number) => string
  readonly startedAt: number
  readonly messages: RunMessage[]
  readonly listeners: Set<() => void>
  produced: number
  cachedTokens: number
  ended: boolean
}

/** Maximum number of runs, waiting ones included, per slot of `maxRunning`. */
const MAX_RUNS_PER_SLOT = 4

/** Time after its end in which a run can still be read, in milliseconds. */
const ENDED_RUN_RETENTION_MS = 5000

/** Time after which an import is discarded, in milliseconds. */
const IMPORT_LIFETIME_MS = 30_000

/** Time from the start of a poison run to the crash of the engine, in milliseconds. */
const POISON_CRASH_DELAY_MS = 300

/** Simulates one engine. */
export class EngineStandin {
  readonly #cache: PrefixCache
  readonly #runs = new Map<string, EngineRun>()
  readonly #imports = new Map<string, readonly string[]>()
  #prefillQueue: Array<{ run: EngineRun, tokens: number }> = []
  /** End of the current prefill. */
  #prefillEndsAt = 0
  #prefilling = false
  #decoding = new Set<EngineRun>()
  #version: string
  #loadingVersion: string | undefined
  #leaving = false
  #fence = { term: 0, index: 0 }
  #meanRunMs = 0
  #report: EngineReport
  #reportAt = performance.now()
  #acceptedOrderCount = 0
  readonly #timers: NodeJS.Timeout[]

  /** @param settings - settings of the engine */
  constructor (private readonly settings: EngineStandinSettings) {
    this.#cache = new PrefixCache(settings.cacheBlocks)
    this.#version = settings.version
    this.#report = this.#measureLoad()
    this.#timers = [
      setInterval(() => { this.#decodeStep() }, settings.decodeMs),
      setInterval(() => {
        this.#report = this.#measureLoad()
        this.#reportAt = performance.now()
      }, settings.reportLagMs)
    ]
  }

  get version (): string { return this.#version }
  get acceptedOrderCount (): number { return this.#acceptedOrderCount }

  /** @returns the last measured load, with the age of the measurement */
  report (): EngineReport {
    return { ...this.#report, state: this.#leaving ? 'leaving' : 'serving', ageMs: performance.now() - this.#reportAt }
  }

  /** Refuses new runs from now on. */
  startLeaving (): void {
    this.#leaving = true
  }

  /** Stops all timers. */
  stop (): void {
    for (const timer of this.#timers) clearInterval(timer)
  }

  // --- Runs ---

  /**
   * Starts a run.
   *
   * @param request - run to start
   * @returns the reason why the run was not started, or undefined if it was started
   */
  start (request: RunRequest): EngineRefusal | undefined {
    const importedKeys = request.importId === undefined ? [] : this.#imports.get(request.importId)
    if (this.#leaving) return 'leaving'
    if (request.expectedVersion !== this.#version) return 'version-mismatch'
    if (importedKeys === undefined) return 'unknown-import'
    if (this.#runs.size >= this.settings.maxRunning * MAX_RUNS_PER_SLOT) return 'full'
    const produced = request.produced.join('')
    const keys = blockKeys(request.cacheSalt, request.prompt + produced)
    const run: EngineRun = {
      request,
      version: this.#version,
      keys,
      tokenAt: answerTokens(request.prompt, this.#version),
      startedAt: performance.now(),
      messages: [],
      listeners: new Set(),
      produced: request.produced.length,
      cachedTokens: 0,
      ended: false
    }
    this.#runs.set(request.run, run)
    if (this.settings.poisonText !== '' && request.prompt.includes(this.settings.poisonText)) {
      setTimeout(this.settings.crash, POISON_CRASH_DELAY_MS)
      return undefined
    }
    this.#cache.store(importedKeys, performance.now())
    const cachedBlocks = this.#cache.leadingBlockCount(keys)
    this.#cache.store(keys.slice(0, cachedBlocks), performance.now())
    const tokens = tokenCount(request.prompt + produced)
    run.cachedTokens = Math.min(tokens, cachedBlocks * TOKENS_PER_BLOCK)
    this.#enqueuePrefill(run, tokens - run.cachedTokens)
    return undefined
  }

  /**
   * Reads the messages of a run from an offset to the end of the run.
   *
   * @param id - run id
   * @param from - offset of the first token to read
   * @returns a stream of messages, or undefined for an unknown run
   */
  read (id: string, from: number): AsyncGenerator<RunMessage> | undefined {
    const run = this.#runs.get(id)
    return run === undefined ? undefined : this.#readFrom(run, from)
  }

  /** @param id - id of the run to cancel */
  cancel (id: string): void {
    const run = this.#runs.get(id)
    if (run === undefined) return
    this.#endRun(run)
    this.#runs.delete(id)
  }

  async * #readFrom (run: EngineRun, from: number): AsyncGenerator<RunMessage> {
    let position = run.messages.findIndex(message => message.kind === 'end' || message.offset + message.tokens.length > from)
    if (position < 0) position = run.messages.length
    let delayed: RunMessage | undefined
    for (;;) {
      const message = run.messages[position]
      if (message !== undefined) {
        position += 1
        if (this.settings.disorder && message.kind === 'tokens') {
          if (message.offset % 5 === 2 && delayed === undefined) {
            delayed = message
            continue
          }
          if (message.offset % 7 === 3) yield message
        }
        if (message.kind === 'end' && delayed !== undefined) yield delayed
        yield message
        if (delayed !== undefined) yield delayed
        delayed = undefined
        if (message.kind === 'end') return
        continue
      }
      if (run.ended) return
      await new Promise<void>(resolve => {
        const wake = (): void => {
          run.listeners.delete(wake)
          resolve()
        }
        run.listeners.add(wake)
      })
    }
  }

  #enqueuePrefill (run: EngineRun, tokens: number): void {
    const position = this.#prefillQueue.findIndex(queued => queued.run.request.priority < run.request.priority)
    if (position < 0) this.#prefillQueue.push({ run, tokens })
    else this.#prefillQueue.splice(position, 0, { run, tokens })
    this.#startPrefill()
  }

  #startPrefill (): void {
    if (this.#prefilling || this.#decoding.size >= this.settings.maxRunning) return
    const next = this.#prefillQueue.shift()
    if (next === undefined) return
    if (next.run.ended) {
      this.#startPrefill()
      return
    }
    this.#prefilling = true
    const finish = (): void => {
      this.#prefilling = false
      if (!next.run.ended) {
        this.#cache.store(next.run.keys, performance.now())
        this.#decoding.add(next.run)
        this.#produce(next.run)
      }
      this.#startPrefill()
    }
    const prefillMs = Math.max(0, next.tokens) / this.settings.prefillTokensPerMs
    this.#prefillEndsAt = performance.now() + prefillMs
    if (prefillMs === 0) finish()
    else setTimeout(finish, prefillMs)
  }

  #decodeStep (): void {
    for (const run of this.#decoding) this.#produce(run)
    this.#startPrefill()
  }

  #produce (run: EngineRun): void {
    const length = run.request.maxTokens
    if (run.produced < length) {
      run.messages.push({ kind: 'tokens', offset: run.produced, tokens: [run.tokenAt(run.produced)], version: run.version })
      run.produced += 1
    }
    if (run.produced >= length) {
      run.messages.push({
        kind: 'end',
        length,
        finishReason: 'length',
        promptTokens: tokenCount(run.request.prompt),
        cachedTokens: run.cachedTokens,
        version: run.version
      })
      this.#finishRun(run)
    }
    for (const wake of [...run.listeners]) wake()
  }

  #finishRun (run: EngineRun): void {
    const answer = Array.from({ length: run.produced }, (_, offset) => run.tokenAt(offset)).join('')
    this.#cache.store(blockKeys(run.request.cacheSalt, run.request.prompt + answer), performance.now())
    this.#meanRunMs += (performance.now() - run.startedAt - this.#meanRunMs) * 0.1
    this.#endRun(run)
    setTimeout(() => { this.#runs.delete(run.request.run) }, ENDED_RUN_RETENTION_MS).unref()
  }

  #endRun (run: EngineRun): void {
    run.ended = true
    this.#decoding.delete(run)
    this.#prefillQueue = this.#prefillQueue.filter(queued => queued.run !== run)
    for (const wake of [...run.listeners]) wake()
  }

  // --- Cache ---

  /**
   * @param from - first sequence number to read
   * @returns the published events, or undefined if some are no longer available
   */
  cacheEvents (from: number): ReturnType<PrefixCache['eventsFrom']> {
    return this.#cache.eventsFrom(from, performance.now() - this.settings.eventLagMs)
  }

  /** @returns all cached keys and the sequence number of the next event */
  cacheListing (): { keys: string[], nextSequence: number } {
    return { keys: this.#cache.keys(), nextSequence: this.#cache.nextSequence }
  }

  /**
   * Reads objects from stores and stages their blocks for one run.
   *
   * @param request - objects with the addresses of their stores
   * @param signal - aborts the import
   * @returns the number of bytes read, or the reason of the failure
   */
  async stageImport (request: ImportRequest, signal: AbortSignal): Promise<{ bytes: number } | { error: string }> {
    let bytes = 0
    const keys: string[] = []
    for (const object of request.objects) {
      const response = await httpRequest(`http://${object.storeAddress}/objects/${object.name}`, { signal })
      const content = new Uint8Array(await response.body.arrayBuffer())
      if (response.statusCode !== 200) return { error: 'object-missing' }
      const expected = objectContent(object.keys, this.settings.bytesPerToken * TOKENS_PER_BLOCK)
      if (sha256(content) !== object.sha256 || !expected.equals(content)) return { error: 'object-damaged' }
      bytes += content.length
      keys.push(...object.keys)
    }
    this.#imports.set(request.importId, keys)
    setTimeout(() => { this.#imports.delete(request.importId) }, IMPORT_LIFETIME_MS).unref()
    return { bytes }
  }

  /** @param importId - id of an import that no run will use */
  discardImport (importId: string): void {
    this.#imports.delete(importId)
  }

  /**
   * Writes blocks from the cache to a store.
   *
   * @param request - keys of the blocks, and the target object
   * @returns the acknowledgement of the store, or the reason of the failure
   */
  async exportBlocks (request: ExportRequest): Promise<ExportResponse | { error: string }> {
    if (!this.#cache.holds(request.keys)) return { error: 'blocks-gone' }
    const content = objectContent(request.keys, this.settings.bytesPerToken * TOKENS_PER_BLOCK)
    const response = await httpRequest(`http://${request.storeAddress}/objects/${request.name}`, {
      method: 'PUT',
      headers: {
        'x-object-sha256': sha256(content),
        'x-object-meta': JSON.stringify({ customer: request.customer, keys: request.keys, tokens: request.tokens, firstBlock: request.firstBlock })
      },
      body: content
    })
    const answer = await response.body.json() as ExportResponse | { error: string }
    return response.statusCode < 300 ? answer : { error: 'error' in answer ? answer.error : 'store-refused' }
  }

  // --- Orders ---

  /**
   * Accepts an order from the control hosts. If `honoursFencing` is set, rejects an order with a stale fencing token.
   *
   * @param request - order with its fencing token
   * @returns whether the order was accepted
   */
  acceptOrder (request: OrderRequest): boolean {
    const { term, index } = request.fence
    const isOld = term < this.#fence.term || (term === this.#fence.term && index < this.#fence.index)
    if (this.settings.honoursFencing && isOld) return false
    this.#fence = request.fence
    this.#acceptedOrderCount += 1
    if (this.#loadingVersion !== request.order.version && this.#version !== request.order.version) {
      this.#loadingVersion = request.order.version
      void this.#loadWeights(request.order.version)
    }
    return true
  }

  async #loadWeights (version: string): Promise<void> {
    try {
      const response = await httpRequest(`http://${this.settings.weightStore}/weights/${this.settings.model}/${version}`)
      await response.body.arrayBuffer()
      if (response.statusCode === 200 && this.#loadingVersion === version) this.#version = version
    } catch {
      // The control hosts see that the version did not change, and repeat the order.
    }
    if (this.#loadingVersion === version) this.#loadingVersion = undefined
  }

  #measureLoad (): EngineReport {
    const underWay = this.#prefilling ? Math.max(0, this.#prefillEndsAt - performance.now()) * this.settings.prefillTokensPerMs : 0
    const queuedTokens = this.#prefillQueue.reduce((sum, { tokens }) => sum + tokens, underWay)
    return {
      incarnation: this.settings.incarnation,
      state: 'serving',
      model: this.settings.model,
      version: this.#version,
      ...(this.#loadingVersion === undefined ? {} : { loadingVersion: this.#loadingVersion }),
      running: this.#decoding.size + this.#prefillQueue.length + (this.#prefilling ? 1 : 0),
      maxRunning: this.settings.maxRunning,
      queuedTokens,
      prefillTokensPerMs: this.settings.prefillTokensPerMs,
      meanRunMs: this.#meanRunMs,
      ...(this.#cache.residenceMs === 0 ? {} : { residenceSeconds: this.#cache.residenceMs / 1000 }),
      bytesPerToken: this.settings.bytesPerToken,
      ageMs: 0
    }
  }
}
