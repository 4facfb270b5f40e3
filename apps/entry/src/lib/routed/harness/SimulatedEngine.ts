/** Small model of an inference engine for tests: it prefills prompts in chunks between the decode steps of running streams. */

/** Speeds of an engine. */
export interface EngineSpeeds {
  readonly slots: number
  /** Duration of a step without prefill, in milliseconds. */
  readonly decodeStepMs: number
  readonly prefillTokensPerMs: number
  /** Most prompt tokens that are prefilled in one step. */
  readonly chunkTokens: number
  /** Tokens of a stream that make up one event. */
  readonly tokensPerEvent: number
  /** Shared parts of prompts that the engine keeps. */
  readonly cachedParts: number
}

/** A stream at an engine. */
export interface EngineStream {
  /** Streams of lower rank are prefilled first. */
  readonly rank: number
  /** Prompt tokens that are prefilled in any case. */
  readonly promptTokens: number
  /** Part of the prompt that is prefilled only if the engine does not hold it. */
  readonly shared: { readonly id: string, readonly tokens: number }
  readonly outputTokens: number
  /** @param at - time of the event, in milliseconds */
  onEvent (at: number, isLast: boolean): void
}

interface Progress {
  readonly stream: EngineStream
  prefillLeft: number
  produced: number
}

/** An engine whose machine works at a pace that can be changed. */
export class SimulatedEngine {
  /** How many times as long as usual a step takes. */
  paceFactor = 1
  #waiting: Progress[] = []
  #prefilling: Progress[] = []
  #running: Progress[] = []
  /** Shared parts that the engine holds, the least recently used first. */
  readonly #cached = new Set<string>()
  #stepEndsAt = Number.POSITIVE_INFINITY

  /** @param speeds - speeds of the engine */
  constructor (private readonly speeds: EngineSpeeds) {}

  get running (): number { return this.#prefilling.length + this.#running.length }
  get waiting (): number { return this.#waiting.length }

  /**
   * @param stream - stream to run
   * @param now - milliseconds
   */
  submit (stream: EngineStream, now: number): void {
    insertByRank(this.#waiting, { stream, prefillLeft: stream.promptTokens + this.#useShared(stream.shared), produced: 0 })
    if (this.#stepEndsAt === Number.POSITIVE_INFINITY) this.#beginStep(now)
  }

  /** @param now - milliseconds up to which the engine works */
  advance (now: number): void {
    while (this.#stepEndsAt <= now) {
      const at = this.#stepEndsAt
      this.#endStep(at)
      this.#beginStep(at)
    }
  }

  /** Returns the tokens of a shared part that have to be prefilled. Streams that arrive while it is prefilled wait for it and do not prefill it again. */
  #useShared ({ id, tokens }: EngineStream['shared']): number {
    const isHeld = this.#cached.delete(id)
    this.#cached.add(id)
    for (const oldest of this.#cached) {
      if (this.#cached.size <= this.speeds.cachedParts) break
      this.#cached.delete(oldest)
    }
    return isHeld ? 0 : tokens
  }

  #beginStep (at: number): void {
    while (this.#waiting.length > 0 && this.running < this.speeds.slots) {
      const next = this.#waiting.shift()
      if (next !== undefined) insertByRank(this.#prefilling, next)
    }
    const { decodeStepMs, prefillTokensPerMs } = this.speeds
    this.#stepEndsAt = this.running === 0 ? Number.POSITIVE_INFINITY : at + (decodeStepMs + this.#chunk() / prefillTokensPerMs) * this.paceFactor
  }

  #chunk (): number {
    return Math.min(this.speeds.chunkTokens, this.#prefilling[0]?.prefillLeft ?? 0)
  }

  #endStep (at: number): void {
    for (const progress of this.#running) this.#produce(progress, at)
    this.#running = this.#running.filter(({ produced, stream }) => produced < stream.outputTokens)
    const [first] = this.#prefilling
    if (first === undefined) return
    first.prefillLeft -= this.#chunk()
    if (first.prefillLeft <= 0) this.#running.push(...this.#prefilling.splice(0, 1))
  }

  #produce (progress: Progress, at: number): void {
    progress.produced += 1
    const isLast = progress.produced >= progress.stream.outputTokens
    if (isLast || progress.produced % this.speeds.tokensPerEvent === 0) progress.stream.onEvent(at, isLast)
  }
}

function insertByRank (queue: Progress[], progress: Progress): void {
  const index = queue.findIndex(other => other.stream.rank > progress.stream.rank)
  queue.splice(index < 0 ? queue.length : index, 0, progress)
}
