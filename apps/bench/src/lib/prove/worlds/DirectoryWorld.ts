/**
 * Readers and writers use directories and stores while shards change owners,
 * stores crash and readers freeze. Stores reuse freed memory at once, so that a
 * read that overlaps a deletion returns corrupt data.
 */
import type { BackendError } from '@eelgrassmux/backends/BackendError'
import type { EngineBackend } from '@eelgrassmux/backends/EngineClient'
import type { ImportRequest } from '@eelgrassmux/backends/engineProtocol'
import type { StoreBackend, StoreListing, StoreLoad } from '@eelgrassmux/backends/StoreClient'
import { blockKeys, cacheSalt, CHARACTERS_PER_TOKEN, TOKENS_PER_BLOCK } from '@eelgrassmux/cache/blockKeys'
import { DirectoryShard } from '@eelgrassmux/cache/DirectoryShard'
import { StoreWatcher } from '@eelgrassmux/directory/StoreWatcher'
import type { DirectoryError, LeasesGranted } from '@eelgrassmux/entry/runs/DirectoryClient'
import { Importer } from '@eelgrassmux/entry/runs/Importer'
import type { PlacedRun } from '@eelgrassmux/entry/runs/Placer'
import { LinkTable } from '@eelgrassmux/policy/health/LinkTable'
import { ConfigurationIndex } from '@eelgrassmux/schema/ConfigurationIndex'
import { fail, succeed, type Result } from '@eelgrassmux/schema/Result'
import type { CheckRecorder, PromiseName } from '../CheckRecorder.js'
import type { Simulation } from '../Simulation.js'
import type { World } from '../World.js'

const MAX_EVENTS = 12_000
const DURATION_MS = 60_000
const STORES = ['store-0', 'store-1']
const DIRECTORIES = 2
const CUSTOMERS = ['ward', 'clinic']
const PROMPTS = 6
const BLOCK_BYTES = 100
const CAPACITY_BYTES = 2500
const SETTINGS = { readLeaseMs: 600, writeReservationMs: 900, ownershipMs: 500, deletionMs: 400, customerShare: 0.5, blocksPerObject: 3 }

interface StoredObject {
  readonly name: string
  readonly customer: string
  readonly keys: readonly string[]
  readonly firstBlock: number
  /** True once the last byte has been written and acknowledged. */
  isComplete: boolean
  isFreed: boolean
}

interface Assignment {
  readonly directory: number
  readonly epoch: number
  readonly acceptedAt: number
}

/** A directory with the assignment it knows. */
interface SimulatedDirectory {
  shard: DirectoryShard | undefined
  knownEpoch: number
  frozenUntil: number
  readonly watchers: StoreWatcher[]
}

/** A store that reuses freed memory at once. */
class SimulatedStore implements StoreBackend {
  objects = new Map<string, StoredObject>()
  incarnation = 1
  isUp = true

  constructor (private readonly simulation: Simulation, readonly name: string) {}

  get usedBytes (): number {
    return [...this.objects.values()].reduce((sum, object) => sum + object.keys.length * BLOCK_BYTES, 0)
  }

  async load (): Promise<Result<StoreLoad, BackendError>> {
    await this.#latency()
    if (!this.isUp) return fail({ kind: 'connect-failed' })
    return succeed({ incarnation: this.incarnation, usedBytes: this.usedBytes, capacityBytes: CAPACITY_BYTES, backlogBytes: 0 })
  }

  async list (): Promise<Result<StoreListing, BackendError>> {
    await this.#latency()
    if (!this.isUp) return fail({ kind: 'connect-failed' })
    const complete = [...this.objects.values()].filter(object => object.isComplete)
    const listing = complete.map(({ name, customer, keys, firstBlock }) => ({
      name, customer, firstBlock, keys: [...keys], tokens: keys.length * TOKENS_PER_BLOCK, bytes: keys.length * BLOCK_BYTES, sha256: '', tier: 'memory' as const
    }))
    await this.#latency()
    return succeed({ objects: listing })
  }

  async remove (name: string): Promise<Result<unknown, BackendError>> {
    await this.#latency()
    if (!this.isUp) return fail({ kind: 'connect-failed' })
    const object = this.objects.get(name)
    if (object !== undefined) object.isFreed = true
    this.objects.delete(name)
    return succeed({})
  }

  async close (): Promise<void> {}

  async #latency (): Promise<void> {
    await this.simulation.sleep(0.5 + this.simulation.random() * 3 + (this.simulation.drawFault('delay', 0.05) ? this.simulation.random() * 300 : 0))
  }
}

/** Checks that runs use only complete, unfreed blocks of their own customer. */
export class DirectoryWorld implements World {
  readonly #stores = new Map<string, SimulatedStore>()
  readonly #directories: SimulatedDirectory[] = []
  readonly #corruptImports = new Set<string>()
  readonly #importCustomers = new Map<string, string>()
  readonly #configuration: ConfigurationIndex
  #assignment: Assignment

  /**
   * @param simulation - the seeded schedule
   * @param recorder - counts the checks
   * @param broken - promise whose mechanism is disabled
   */
  constructor (private readonly simulation: Simulation, private readonly recorder: CheckRecorder, private readonly broken: PromiseName | undefined) {
    for (const name of STORES) this.#stores.set(name, new SimulatedStore(simulation, name))
    this.#configuration = new ConfigurationIndex(1, {
      documents: STORES.map(name => ({ kind: 'store', name, address: name, dataCentre: 'hall', linkBytesPerSecond: 1_000_000 }))
    })
    this.#assignment = { directory: 0, epoch: 1, acceptedAt: 0 }
    for (let index = 0; index < DIRECTORIES; index += 1) this.#directories.push(this.#newDirectory(index))
  }

  async run (): Promise<void> {
    for (const index of this.#directories.keys()) this.#directoryLoop(index)
    this.#readerLoop()
    this.#writerLoop()
    this.#faultLoop()
    await this.simulation.run({ events: MAX_EVENTS, until: DURATION_MS })
  }

  // --- Directories ---

  #newDirectory (index: number): SimulatedDirectory {
    const directory: SimulatedDirectory = { shard: undefined, knownEpoch: 0, frozenUntil: 0, watchers: [] }
    for (const store of this.#stores.values()) {
      directory.watchers.push(new StoreWatcher(this.simulation, store.name, store,
        () => directory.shard === undefined ? [] : [directory.shard],
        () => this.#mayAct(index), () => {}))
    }
    return directory
  }

  /** A former owner may act for up to `ownershipMs` after a reassignment, which is the bound that the freshness lease guarantees. */
  #mayAct (index: number): boolean {
    const directory = this.#directories[index]
    if (directory?.shard === undefined || this.simulation.now() < directory.frozenUntil) return false
    const isOwner = this.#assignment.directory === index && this.#assignment.epoch === directory.shard.epoch
    return isOwner || this.simulation.now() < this.#assignment.acceptedAt + SETTINGS.ownershipMs
  }

  #directoryLoop (index: number): void {
    const directory = this.#directories[index]
    if (directory === undefined) return
    this.simulation.schedule(60 + this.simulation.random() * 60, () => {
      this.#directoryLoop(index)
      if (this.simulation.now() < directory.frozenUntil) return
      this.#followAssignment(index, directory)
      for (const watcher of directory.watchers) void watcher.poll()
      if (this.broken === 'no-freed-or-partial-block') this.#deleteWithoutWaiting(directory)
    })
  }

  #followAssignment (index: number, directory: SimulatedDirectory): void {
    const { epoch, directory: owner } = this.#assignment
    if (directory.knownEpoch === epoch) return
    directory.knownEpoch = epoch
    const settings = this.broken === 'no-freed-or-partial-block' ? { ...SETTINGS, ownershipMs: -10_000, deletionMs: 0 } : SETTINGS
    directory.shard = owner === index ? new DirectoryShard(0, epoch, settings, this.simulation.now()) : undefined
    for (const watcher of directory.watchers) watcher.requestListing()
  }

  /** Deletes objects on which readers may still hold leases; the disabled mechanism would wait for these leases to end. */
  #deleteWithoutWaiting (directory: SimulatedDirectory): void {
    const { shard } = directory
    if (shard === undefined) return
    for (const { store, name } of shard.deletable(this.simulation.now() + SETTINGS.readLeaseMs)) {
      void this.#stores.get(store)?.remove(name).then(() => { shard.confirmDeleted(name) })
    }
  }

  async #callOwner<Answer> (call: (shard: DirectoryShard) => Answer): Promise<Result<Answer, DirectoryError>> {
    const target = this.simulation.pick(DIRECTORIES)
    await this.simulation.sleep(0.3 + this.simulation.random() + (this.simulation.drawFault('delay', 0.05) ? this.simulation.random() * 400 : 0))
    const shard = this.#directories[target]?.shard
    if (shard === undefined || !this.#mayAct(target)) return fail({ kind: 'wrong-owner' })
    const answer = call(shard)
    await this.simulation.sleep(0.3 + this.simulation.random() + (this.simulation.drawFault('delay', 0.05) ? this.simulation.random() * 400 : 0))
    return succeed(answer)
  }

  // --- Prompts ---

  #keys (customer: string, prompt: number): string[] {
    const isShared = this.broken === 'customers-apart'
    const salt = cacheSalt({ cacheSecret: isShared ? 'one secret for all' : `secret of ${customer}`, model: 'base', version: 'v1' })
    const blocks = 2 + prompt
    return blockKeys(salt, 'x'.repeat(blocks * TOKENS_PER_BLOCK * CHARACTERS_PER_TOKEN))
  }

  // --- Writers ---

  #writerLoop (): void {
    this.simulation.schedule(10 + this.simulation.random() * 80, () => {
      this.#writerLoop()
      void this.#write(this.simulation.pickFrom(CUSTOMERS), this.simulation.pick(PROMPTS))
    })
  }

  async #write (customer: string, prompt: number): Promise<void> {
    const store = this.#stores.get(this.simulation.pickFrom(STORES))
    const keys = this.#keys(customer, prompt)
    if (store === undefined) return
    const reserved = await this.#callOwner(shard =>
      shard.reserve({ customer, store: store.name, keys, tokensPerBlock: TOKENS_PER_BLOCK }, this.simulation.now()))
    if (!reserved.ok || reserved.value === undefined || !store.isUp) return
    const { name, keys: written, firstBlock } = reserved.value
    const { incarnation } = store
    const object: StoredObject = { name, customer, keys: written, firstBlock, isComplete: false, isFreed: false }
    if (store.usedBytes + written.length * BLOCK_BYTES > CAPACITY_BYTES) return
    store.objects.set(name, object)
    const isPublishedEarly = this.broken === 'no-freed-or-partial-block' && this.simulation.chance(0.5)
    if (isPublishedEarly) await this.#publish(name, written)
    await this.simulation.sleep(5 + this.simulation.random() * 60 + (this.simulation.drawFault('delay', 0.1) ? this.simulation.random() * 1500 : 0))
    if (!store.isUp || store.incarnation !== incarnation || object.isFreed) return
    object.isComplete = true
    await this.#publish(name, written)
  }

  async #publish (name: string, keys: readonly string[]): Promise<void> {
    await this.#callOwner(shard => shard.publish(name, { bytes: keys.length * BLOCK_BYTES, sha256: '', tier: 'memory' }, this.simulation.now()))
  }

  // --- Readers ---

  #readerLoop (): void {
    this.simulation.schedule(5 + this.simulation.random() * 40, () => {
      this.#readerLoop()
      void this.#read(this.simulation.pickFrom(CUSTOMERS), this.simulation.pick(PROMPTS))
    })
  }

  async #read (customer: string, prompt: number): Promise<void> {
    const keys = this.#keys(customer, prompt)
    const found = await this.#callOwner(shard => shard.coverage(keys))
    if (!found.ok || found.value.length === 0) return
    const stored = found.value.map(({ object, coversTo }) => ({ object: { ...object, keys: [...object.keys] }, coversTo }))
    const reusedBlocks = stored.at(-1)?.coversTo ?? 0
    const imports = stored.map(({ object, coversTo: blocks }) => ({ name: object.name, store: object.store, dataCentre: 'hall', bytes: object.bytes, coversTo: blocks }))
    const engine = { residentBlocks: 0, prefillTokensPerMs: 1 }
    const placed = { placement: { imports, engine, reusedBlocks, importMs: 400 }, keys, stored, salt: '' } as unknown as PlacedRun
    const importer = new Importer(this.simulation, {
      lease: async (chain, fromBlock) => {
        const leased = await this.#callOwner(shard => shard.lease(chain, fromBlock, () => 'lease', this.simulation.now()))
        if (!leased.ok) return leased
        return succeed({ kind: 'leased', leases: leased.value.map(lease => ({ ...lease, object: { ...lease.object, keys: [...lease.object.keys] } })) } satisfies LeasesGranted)
      }
    }, new LinkTable(), () => this.#configuration, NO_COUNTER, NO_COUNTER)
    const importId = await importer.stage(this.#engine(), placed, new AbortController().signal)
    if (importId === undefined) return
    this.recorder.check('no-freed-or-partial-block', !this.#corruptImports.has(importId), () => `a run of ${customer} would use freed or partial blocks`)
    this.recorder.check('customers-apart', this.#importCustomers.get(importId) === customer,
      () => `a run of ${customer} would use blocks of ${this.#importCustomers.get(importId) ?? 'nobody'}`)
  }

  /** An engine that verifies no checksums, so that only leases and the order of publication protect it. */
  #engine (): EngineBackend {
    return {
      stageImport: async (request: ImportRequest) => {
        for (const { name, storeAddress } of request.objects) {
          const object = this.#stores.get(storeAddress)?.objects.get(name)
          if (object === undefined) return fail({ kind: 'rejected', status: 409, detail: 'object-missing' })
          const wasComplete = object.isComplete
          const incarnation = this.#stores.get(storeAddress)?.incarnation
          await this.simulation.sleep(1 + this.simulation.random() * 40 + (this.simulation.drawFault('delay', 0.1) ? this.simulation.random() * 1200 : 0))
          // A crashed store breaks the connection, so the read fails instead of returning corrupt data.
          const { isUp, incarnation: present } = this.#stores.get(storeAddress) ?? { isUp: false, incarnation: 0 }
          if (!isUp || present !== incarnation) return fail({ kind: 'lost', detail: 'the store died' })
          if (!wasComplete || object.isFreed) this.#corruptImports.add(request.importId)
          this.#importCustomers.set(request.importId, object.customer)
        }
        if (this.simulation.drawFault('freeze', 0.05)) await this.simulation.sleep(this.simulation.random() * 1500)
        return succeed({ bytes: 0 })
      },
      discardImport: async () => {}
    } as unknown as EngineBackend
  }

  // --- Faults ---

  #faultLoop (): void {
    this.simulation.schedule(200 + this.simulation.random() * 600, () => {
      this.#faultLoop()
      if (this.simulation.drawFault('kill', 0.25)) this.#reassign()
      const directory = this.#directories[this.simulation.pick(DIRECTORIES)]
      if (directory !== undefined && this.simulation.drawFault('freeze', 0.25)) {
        directory.frozenUntil = this.simulation.now() + this.simulation.random() * 1500
      }
      const store = this.#stores.get(this.simulation.pickFrom(STORES))
      if (store !== undefined && this.simulation.drawFault('lost-disk', 0.1)) this.#killStore(store)
      for (const each of this.#directories) each.shard?.evict(this.simulation.pickFrom(STORES), 300, this.simulation.now())
    })
  }

  #reassign (): void {
    const { directory, epoch } = this.#assignment
    this.#assignment = { directory: (directory + 1) % DIRECTORIES, epoch: epoch + 1, acceptedAt: this.simulation.now() }
    this.simulation.log(`the shard moves to directory ${this.#assignment.directory} under epoch ${epoch + 1}`)
  }

  #killStore (store: SimulatedStore): void {
    this.simulation.log(`${store.name} dies`)
    for (const object of store.objects.values()) object.isFreed = true
    store.objects = new Map()
    store.isUp = false
    this.simulation.schedule(this.simulation.random() * 1000, () => {
      store.isUp = true
      store.incarnation += 1
    })
  }
}

const NO_COUNTER = { count: (): void => {} }
