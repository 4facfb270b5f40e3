/**
 * Guards against endpoints that crash one after the other because of one part of prompts: the requests with it were all
 * different, so none of them was quarantined, and hosts went on sending them.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, describe, expect, it } from 'vitest'
import type { PromptPart } from '@eelgrassmux/routing/prompts/promptDescription'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import { FakeEndpoint, streamEvent, type Behaviour } from '../routed/harness/FakeEndpoint.js'
import { PLAIN_HEADERS, PlainCodec } from '../routed/harness/PlainCodec.js'
import { RoutedHost } from '../routed/harness/RoutedHost.js'
import type { CallerFields } from '../routed/RequestCodec.js'
import { QuarantineLeader } from './harness/QuarantineLeader.js'

const ENDPOINTS = 8
const HOSTS = 3
const PARTS_HEADER = 'parts'

/** Crashes from which sends of requests with the part are counted, and the time after them from which at most some may arrive, in milliseconds. */
const COUNTED_CRASHES = 5
const DETECTION_MS = 3000
const MAX_LATE_ARRIVALS = 3

/** Share of the sound requests that have to be served from then on. */
const MIN_SERVED_SHARE = 0.5

/** Duration of a test, interval between requests with the part and between sound ones, in milliseconds. */
const DURATION_MS = 7000
const POISON_INTERVAL_MS = 150
const SOUND_INTERVAL_MS = 25

/** Time that an endpoint takes to begin an answer, and for the whole one, in milliseconds. */
const FIRST_EVENT_MS = 40
const ANSWER_MS = 120

const TEST_TIMEOUT_MS = 15_000

/** Reads the parts of prompts from a header. */
class PartsCodec extends PlainCodec {
  override readRequestHeaders (headers: readonly string[]): CallerFields {
    const at = headers.indexOf(PARTS_HEADER)
    const parts = at < 0 ? [] : (headers[at + 1] ?? '').split(',').map((id): PromptPart => ({ id, tokens: 100 }))
    return { ...super.readRequestHeaders(headers), prompt: { model: 'm', promptTokens: 300, outputTokens: 10, parts } }
  }
}

/** Endpoints that restart under a new id after a crash. */
class CrashingPool {
  readonly crashes: number[] = []
  readonly arrivals: number[] = []
  readonly #endpoints: FakeEndpoint[]
  #listed: ListedEndpoint[] = []
  readonly hosts: RoutedHost[]
  readonly leader = new QuarantineLeader()

  constructor (private readonly poison: ReadonlySet<string>) {
    this.#endpoints = Array.from({ length: ENDPOINTS }, (_, number) => new FakeEndpoint(`e${number}`, (...exchange) => { this.#run(number, ...exchange) }))
    this.hosts = Array.from({ length: HOSTS }, () => new RoutedHost([], { codec: new PartsCodec(), budget: { ratio: 100, slack: 200 }, quarantine: this.leader.connect() }))
  }

  async start (): Promise<void> {
    this.#listed = await Promise.all(this.#endpoints.map(async endpoint => await endpoint.listen()))
    for (const host of this.hosts) await host.start(this.#listed)
  }

  async close (): Promise<void> {
    this.leader.stop()
    for (const host of this.hosts) await host.close()
    for (const endpoint of this.#endpoints) endpoint.close()
  }

  #run (number: number, ...[request, response]: Parameters<Behaviour>): void {
    const parts = String(request.headers[PARTS_HEADER]).split(',')
    const isPoison = parts.some(part => this.poison.has(part))
    if (isPoison) this.arrivals.push(performance.now())
    response.writeHead(200, { [PLAIN_HEADERS.id]: request.headers[PLAIN_HEADERS.id] ?? '' })
    response.flushHeaders()
    setTimeout(() => { if (isPoison) this.#crash(number); else response.write(streamEvent(1)) }, FIRST_EVENT_MS)
    setTimeout(() => { response.end(streamEvent(2)) }, ANSWER_MS)
  }

  #crash (number: number): void {
    this.crashes.push(performance.now())
    this.#endpoints[number]?.abortConnections()
    this.#listed = this.#listed.map((listed, index) => index === number ? { ...listed, id: `e${number}-${this.crashes.length}` } : listed)
    for (const host of this.hosts) host.fleet.update(this.#listed)
  }
}

describe('requests that crash endpoints and have one part of their prompts in common', () => {
  let pool: CrashingPool | undefined

  afterEach(async () => { await pool?.close() })

  /** Sends sound requests and requests with a part that crashes endpoints through all hosts; returns the outcomes of the sound ones by when they were sent. */
  async function play (poisonPrompts: ReadonlyArray<readonly string[]>, soundPrompts: ReadonlyArray<readonly string[]>, poison: ReadonlySet<string>): Promise<{ readonly late: number, readonly served: number }> {
    pool = new CrashingPool(poison)
    await pool.start()
    const { hosts } = pool
    const startedAt = performance.now()
    const sound: Array<Promise<{ readonly sentMs: number, readonly isServed: boolean }>> = []
    const send = async (prompt: readonly string[], number: number): Promise<{ sentMs: number, isServed: boolean }> => {
      const sentMs = performance.now() - startedAt
      const answer = await hosts[number % HOSTS]?.sendRequest('/stream/', () => {}, { [PLAIN_HEADERS.id]: `r${number}`, [PARTS_HEADER]: [...prompt, `own${number}`].join(',') })
      return { sentMs, isServed: answer?.status === 200 && answer.isWhole }
    }
    for (let number = 0; performance.now() - startedAt < DURATION_MS; number += 1) {
      sound.push(send(soundPrompts[number % soundPrompts.length] ?? [], number))
      if (number % (POISON_INTERVAL_MS / SOUND_INTERVAL_MS) === 0) void send(poisonPrompts[number % poisonPrompts.length] ?? [], 100_000 + number)
      await sleep(SOUND_INTERVAL_MS)
    }
    const outcomes = (await Promise.all(sound)).filter(({ sentMs }) => sentMs > DURATION_MS / 2)
    const countedFrom = (pool.crashes[COUNTED_CRASHES - 1] ?? Number.POSITIVE_INFINITY) + DETECTION_MS
    return {
      late: pool.arrivals.filter(at => at > countedFrom).length,
      served: outcomes.filter(({ isServed }) => isServed).length / outcomes.length
    }
  }

  it.each([
    ['that is the first one', [['bad', 'x']], [['all', 'x'], ['all', 'y']]],
    ['that follows a shared one', [['all', 'bad'], ['all', 'bad', 'x']], [['all', 'x'], ['all', 'y']]],
    ['before parts that sound requests have as well', [['bad', 'all', 'x'], ['bad', 'all', 'y']], [['all', 'x'], ['all', 'y']]]
  ])('are no longer sent, and all others are served (%s)', async (_case, poisonPrompts, soundPrompts) => {
    const { late, served } = await play(poisonPrompts, soundPrompts, new Set(['bad']))
    expect(late).toBeLessThanOrEqual(MAX_LATE_ARRIVALS)
    expect(served).toBeGreaterThan(MIN_SERVED_SHARE)
  }, TEST_TIMEOUT_MS)

  it('are no longer sent if there are two such parts', async () => {
    const { late, served } = await play([['all', 'bad'], ['all', 'worse']], [['all', 'x'], ['all', 'y']], new Set(['bad', 'worse']))
    expect(late).toBeLessThanOrEqual(MAX_LATE_ARRIVALS)
    expect(served).toBeGreaterThan(MIN_SERVED_SHARE)
  }, TEST_TIMEOUT_MS)
})
