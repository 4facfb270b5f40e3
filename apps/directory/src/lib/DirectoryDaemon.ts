/** Directory daemon: connects the RPC server, the shards and the watchers of engines and stores. */
import { z } from 'zod'
import { EngineClient } from '@eelgrassmux/backends/EngineClient'
import { StoreClient } from '@eelgrassmux/backends/StoreClient'
import { DEFAULT_SHARD_SETTINGS, DirectoryShard } from '@eelgrassmux/cache/DirectoryShard'
import { ResidencyIndex } from '@eelgrassmux/cache/ResidencyIndex'
import type { DaemonProgram, RunningDaemon } from '@eelgrassmux/daemon/runDaemon'
import { SystemClock } from '@eelgrassmux/daemon/SystemClock'
import { addressListSetting, commonSettingsShape, integerSetting } from '@eelgrassmux/daemon/settings'
import { DatagramClient } from '@eelgrassmux/rpc/datagrams/DatagramClient'
import { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import { RpcServer } from '@eelgrassmux/rpc/RpcServer'
import { reportSilentConnections } from '@eelgrassmux/telemetry/reportSilentConnections'
import type { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { ControlLink } from '@eelgrassmux/view/ControlLink'
import { DirectoryServer } from './DirectoryServer.js'
import { EngineWatcher } from './EngineWatcher.js'
import { handOverShards } from './handOverShards.js'
import { StoreWatcher } from './StoreWatcher.js'

const settingsSchema = z.object({
  ...commonSettingsShape,
  port: integerSetting(0, 65535).default(0).describe('port for entry hosts; 0 takes a free one'),
  control: addressListSetting.describe('control hosts, separated by commas'),
  freshnessMs: integerSetting(500, 60_000).default(3000).describe('how long a confirmed view may be acted on, in milliseconds'),
  readLeaseMs: integerSetting(100, 600_000).default(DEFAULT_SHARD_SETTINGS.readLeaseMs).describe('how long a reader may use an object, in milliseconds'),
  writeReservationMs: integerSetting(100, 600_000).default(DEFAULT_SHARD_SETTINGS.writeReservationMs).describe('how long a write may take, in milliseconds')
})

/** @internal */
type DirectorySettings = z.infer<typeof settingsSchema>

/** Program definition of the directory. */
export const directoryProgram: DaemonProgram<DirectorySettings> = {
  name: 'eelgrassmux-directory',
  description: 'Knows which engines and stores hold which cache blocks',
  settings: settingsSchema,
  start: async (settings, telemetry) => await new DirectoryDaemon(settings, telemetry).start()
}

/** Owns the shards, and a watcher for each engine and store of the configuration. */
class DirectoryDaemon {
  readonly #clock = new SystemClock()
  readonly #rpc: RpcClient
  readonly #datagrams = new DatagramClient()
  readonly #server = new RpcServer()
  readonly #residency = new ResidencyIndex()
  readonly #engines = new Map<string, EngineWatcher>()
  readonly #stores = new Map<string, StoreWatcher>()
  readonly #shards = new Map<number, DirectoryShard>()

  constructor (private readonly settings: DirectorySettings, private readonly telemetry: Telemetry) {
    this.#rpc = new RpcClient({ onSilentConnection: reportSilentConnections(telemetry) })
  }

  async start (): Promise<RunningDaemon> {
    const { settings, telemetry } = this
    await this.#datagrams.bind(settings.host)
    const port = await this.#server.listen(settings.host, settings.port)
    const address = `${settings.host}:${port}`
    const link = new ControlLink({
      host: address,
      role: 'directory',
      address,
      dataCentre: settings.dataCentre,
      controlAddresses: settings.control,
      freshnessMs: settings.freshnessMs
    }, this.#rpc, this.#datagrams)
    const answers = telemetry.labelledCounter('directory_answers_total', 'Answers to entry hosts by kind', 'kind')
    new DirectoryServer(this.#residency, {
      shard: (shard, epoch) => this.#ownedShard(link, shard, epoch),
      storeIsUp: store => this.#stores.get(store)?.isUp ?? false
    }, answers).register(this.#server)
    telemetry.gauge('directory_shards', 'Shards owned', () => this.#shards.size)
    telemetry.gauge('directory_objects', 'Stored objects known', () => this.#sum(shard => shard.objectCount))
    telemetry.gauge('directory_unpublished', 'Objects waiting for their leases to end', () => this.#sum(shard => shard.unpublishedCount))
    telemetry.gauge('directory_resident_blocks', 'Blocks known to be in engines', () => this.#residency.size)
    const eventCounter = telemetry.labelledCounter('cache_event_reads_total', 'Reads of cache events by outcome', 'outcome')
    const objectCounter = telemetry.labelledCounter('stored_object_events_total', 'Events in the life of stored objects', 'event')
    link.onChange(() => {
      this.#updateShards(link, address)
      void this.#watchBackends(link, outcome => { eventCounter.count(outcome) }, event => { objectCounter.count(event) })
    })
    link.start()
    return {
      addresses: { rpc: address },
      isReady: () => link.isReady(),
      drain: async () => {
        link.stopAccepting()
        const isTaken = await handOverShards(this.#rpc, () => link.shards, address)
        telemetry.logStateChange('shards-handed-over', { isTaken })
      },
      close: async () => {
        link.stop()
        this.#server.close()
        this.#rpc.close()
        this.#datagrams.close()
        for (const watcher of [...this.#engines.values(), ...this.#stores.values()]) await watcher.stop()
      }
    }
  }

  #sum (read: (shard: DirectoryShard) => number): number {
    return [...this.#shards.values()].reduce((sum, shard) => sum + read(shard), 0)
  }

  #ownedShard (link: ControlLink, shard: number, epoch: number): DirectoryShard | undefined {
    const owned = this.#shards.get(shard)
    return owned?.epoch === epoch && link.isFresh() ? owned : undefined
  }

  #updateShards (link: ControlLink, address: string): void {
    const now = performance.now()
    link.shards.forEach(({ owner, epoch }, shard) => {
      const current = this.#shards.get(shard)
      if (owner !== address) {
        if (current !== undefined) this.telemetry.logStateChange('shard-lost', { shard })
        this.#shards.delete(shard)
        return
      }
      if (current?.epoch === epoch) return
      const { readLeaseMs, writeReservationMs, freshnessMs } = this.settings
      const shardSettings = { ...DEFAULT_SHARD_SETTINGS, readLeaseMs, writeReservationMs, ownershipMs: freshnessMs }
      this.#shards.set(shard, new DirectoryShard(shard, epoch, shardSettings, now))
      this.telemetry.logStateChange('shard-taken', { shard, epoch })
      for (const watcher of this.#stores.values()) watcher.requestListing()
    })
  }

  async #watchBackends (
    link: ControlLink,
    countEvents: ConstructorParameters<typeof EngineWatcher>[3],
    countObjects: ConstructorParameters<typeof StoreWatcher>[5]
  ): Promise<void> {
    const { engines, stores } = link.configuration
    for (const [name, watcher] of this.#engines) {
      if (engines.has(name)) continue
      this.#engines.delete(name)
      await watcher.stop()
    }
    for (const [name, watcher] of this.#stores) {
      if (stores.has(name)) continue
      this.#stores.delete(name)
      await watcher.stop()
    }
    for (const { name, address } of engines.values()) {
      if (this.#engines.has(name)) continue
      const watcher = new EngineWatcher(name, new EngineClient(address), this.#residency, countEvents)
      this.#engines.set(name, watcher)
      watcher.start()
    }
    for (const { name, address } of stores.values()) {
      if (this.#stores.has(name)) continue
      const watcher = new StoreWatcher(this.#clock, name, new StoreClient(address), () => [...this.#shards.values()], () => link.isFresh(), countObjects)
      this.#stores.set(name, watcher)
      watcher.start()
    }
  }
}
