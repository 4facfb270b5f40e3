/** Control hosts that keep the origins of streams, for tests without a network. */
import { StreamOrigins } from '@eelgrassmux/routing/streams/StreamOrigins'
import { originQuestionSchema, startedStreamsSchema, type OriginAnswer } from '@eelgrassmux/routing/streams/streamOrigin'
import type { DatagramMethod } from '@eelgrassmux/rpc/datagrams/DatagramMethod'
import { findOrigin } from '@eelgrassmux/rpc/methods/streamMethods'
import type { StreamDirectoryPorts } from '../../streams/StreamDirectoryClient.js'

/** Answers at once, as {@link StreamDirectoryPorts} of all hosts. */
export class OriginHolders implements StreamDirectoryPorts {
  readonly #holders: ReadonlyMap<string, StreamOrigins>
  readonly #unreachable = new Set<string>()

  /** @param count - number of control hosts */
  constructor (count: number) {
    this.#holders = new Map(Array.from({ length: count }, (_, number) => [`control-${number}`, new StreamOrigins()]))
  }

  readonly datagrams: StreamDirectoryPorts['datagrams'] = {
    tell: (address, _method, request) => {
      for (const stream of startedStreamsSchema.parse(request).streams) this.#reach(address)?.record(stream, performance.now())
    },
    ask: (address, method, request, onResponse) => {
      if (method.kind !== findOrigin.kind) throw new Error(`unexpected method ${method.name}`)
      const holder = this.#reach(address)
      if (holder === undefined) return
      const origin = holder.find(originQuestionSchema.parse(request).id, performance.now())
      const view = { possible: [], isRecent: false, observedMs: 0 }
      respond(method, origin === undefined ? view : { origin, ...view }, onResponse)
    }
  }

  listAgeMs (): number { return 0 }

  controlHosts (): readonly string[] { return [...this.#holders.keys()] }

  /** Drops all messages to control hosts. */
  cut (): void {
    for (const address of this.#holders.keys()) this.#unreachable.add(address)
  }

  #reach (address: string): StreamOrigins | undefined {
    return this.#unreachable.has(address) ? undefined : this.#holders.get(address)
  }
}

function respond<Response> (method: DatagramMethod<unknown, Response>, answer: OriginAnswer, onResponse: (response: Response, sentAt: number) => void): void {
  onResponse(method.response.decode(Buffer.from(method.response.encode(answer as Response))), performance.now())
}
