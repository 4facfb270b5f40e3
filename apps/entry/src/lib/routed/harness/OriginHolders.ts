/** Control hosts that keep the origins of streams, for tests without a network. */
import { OriginRecords } from '@eelgrassmux/routing/streams/OriginRecords'
import { originQuestionSchema, startedStreamsSchema, type OriginAnswer } from '@eelgrassmux/routing/streams/streamOrigin'
import type { DatagramMethod } from '@eelgrassmux/rpc/datagrams/DatagramMethod'
import { findOrigin } from '@eelgrassmux/rpc/methods/streamMethods'
import type { Site } from '@eelgrassmux/schema/site/siteSchema'
import type { StreamDirectoryPorts } from '../../streams/StreamDirectoryClient.js'

/** Answers at once, as {@link StreamDirectoryPorts} of all hosts. */
export class OriginHolders implements StreamDirectoryPorts {
  readonly #holders: ReadonlyMap<string, OriginRecords>
  readonly #unreachable = new Set<string>()

  /** @param count - number of control hosts */
  constructor (count: number) {
    this.#holders = new Map(Array.from({ length: count }, (_, number) => [`control-${number}`, new OriginRecords()]))
  }

  readonly datagrams: StreamDirectoryPorts['datagrams'] = {
    tell: (address, _method, request) => {
      this.#reach(address)?.record(startedStreamsSchema.parse(request), performance.now())
    },
    ask: (address, method, request, onResponse) => {
      if (method.kind !== findOrigin.kind) throw new Error(`unexpected method ${method.name}`)
      const holder = this.#reach(address)
      if (holder === undefined) return
      respond(method, holder.answer(originQuestionSchema.parse(request), { isRecent: false, followedMs: 0 }, performance.now()), onResponse)
    }
  }

  /**
   * Puts a site in force at all control hosts, which do not follow the list.
   *
   * @param site - the site
   */
  configure (site: Site): void {
    for (const holder of this.#holders.values()) holder.observe(site, [], performance.now())
  }

  listAgeMs (): number { return 0 }

  controlHosts (): readonly string[] { return [...this.#holders.keys()] }

  /** Drops all messages to control hosts. */
  cut (): void {
    for (const address of this.#holders.keys()) this.#unreachable.add(address)
  }

  #reach (address: string): OriginRecords | undefined {
    return this.#unreachable.has(address) ? undefined : this.#holders.get(address)
  }
}

function respond<Response> (method: DatagramMethod<unknown, Response>, answer: OriginAnswer, onResponse: (response: Response, sentAt: number) => void): void {
  onResponse(method.response.decode(Buffer.from(method.response.encode(answer as Response))), performance.now())
}
