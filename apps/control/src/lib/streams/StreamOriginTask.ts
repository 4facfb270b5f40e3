/** Keeps the origins of streams that entry hosts report, in memory, and answers questions about them. */
import { OriginRecords } from '@eelgrassmux/routing/streams/OriginRecords'
import { MAX_LIST_SKEW_MS } from '@eelgrassmux/routing/streams/PossibleOrigins'
import type { OriginAnswer, OriginQuestion } from '@eelgrassmux/routing/streams/streamOrigin'
import type { DatagramServer } from '@eelgrassmux/rpc/datagrams/DatagramServer'
import { findOrigin, recordStreams } from '@eelgrassmux/rpc/methods/streamMethods'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { Site } from '@eelgrassmux/schema/site/siteSchema'
import type { LabelledCounter, Telemetry } from '@eelgrassmux/telemetry/Telemetry'

/** Dependencies of the task. */
export interface StreamOriginPorts {
  site (): Site | undefined
  /** Returns the endpoints as this control host last read them; empty if it reads no list. */
  endpoints (): readonly ListedEndpoint[]
  /** Returns the milliseconds since the platform stated the list; -1 if it never has. */
  listAgeMs (now: number): number
  /** Returns the milliseconds for which this control host has followed the list without a break; 0 if it does not. */
  followedMs (now: number): number
  readonly telemetry: Telemetry
}

/** Holder of stream origins. Each control host keeps its own; they do not exchange them. */
export class StreamOriginTask {
  readonly #records = new OriginRecords()
  readonly #questions: LabelledCounter
  #site: Site | undefined

  /** @param ports - dependencies */
  constructor (private readonly ports: StreamOriginPorts) {
    ports.telemetry.gauge('stream_origins', 'Streams whose origin this control host keeps', () => this.#records.size)
    this.#questions = ports.telemetry.labelledCounter('stream_origin_questions_total', 'Questions of entry hosts about streams by outcome', 'outcome')
  }

  /** @param datagrams - datagram server on which to register the methods */
  register (datagrams: DatagramServer): void {
    datagrams.handle(recordStreams, report => {
      this.#records.record(report, performance.now())
      return undefined
    })
    datagrams.handle(findOrigin, question => this.#answer(question))
  }

  /** Must be called whenever the list has changed. */
  listChanged (): void {
    const site = this.ports.site()
    if (site !== undefined) this.#records.observe(site, this.ports.endpoints(), performance.now())
  }

  /** Must be called whenever the site may have changed. */
  siteChanged (): void {
    const site = this.ports.site()
    if (site === this.#site) return
    this.#site = site
    this.listChanged()
  }

  #answer (question: OriginQuestion): OriginAnswer {
    const now = performance.now()
    const listAgeMs = this.ports.listAgeMs(now)
    const answer = this.#records.answer(question, { isRecent: listAgeMs >= 0 && listAgeMs <= MAX_LIST_SKEW_MS, followedMs: this.ports.followedMs(now) }, now)
    this.#questions.count(answer.origin === undefined ? 'unknown' : 'known')
    return answer
  }
}
