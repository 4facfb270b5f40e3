/** Exports the blocks of finished runs to stores when the expected reuse outweighs the cost of the link. */
import { blockKeys, cacheSalt, TOKENS_PER_BLOCK } from '@eelgrassmux/cache/blockKeys'
import { DEFAULT_SHARD_SETTINGS } from '@eelgrassmux/cache/DirectoryShard'
import { rendezvousOrder } from '@eelgrassmux/cache/rendezvous'
import type { WorkGate } from '@eelgrassmux/daemon/WorkGate'
import { decideExport } from '@eelgrassmux/policy/placement/decideExport'
import type { Clock } from '@eelgrassmux/schema/Clock'
import type { Customer, Profile } from '@eelgrassmux/schema/configuration'
import type { ConfigurationIndex } from '@eelgrassmux/schema/ConfigurationIndex'
import type { LabelledCounter } from '@eelgrassmux/telemetry/Telemetry'
import type { FleetWatcher } from '../fleet/FleetWatcher.js'
import type { DirectoryClient } from './DirectoryClient.js'
import type { ExportPacer } from './ExportPacer.js'

/** Run that was completed. */
export interface FinishedRun {
  readonly customer: Customer
  readonly model: string
  readonly profile: Profile
  readonly engine: string
  readonly version: string
  /** Prompt followed by the answer. */
  readonly text: string
}

/** Timeout of one object's export, in milliseconds. */
const EXPORT_TIMEOUT_MS = 15_000

/** Longest deferral of an export while the link is busy, and interval between attempts, in milliseconds. */
const MAX_DEFERRAL_MS = 10_000
const RETRY_INTERVAL_MS = 300

/** Interval at which a busy link is checked, in milliseconds. */
const LINK_POLL_INTERVAL_MS = 20

/** Backlog at which a link counts as fully busy, as transfer time in milliseconds. */
const BUSY_BACKLOG_MS = 60

/** Size of the largest object that the directory reserves, in tokens. */
const MAX_OBJECT_TOKENS = DEFAULT_SHARD_SETTINGS.blocksPerObject * TOKENS_PER_BLOCK

/** Limit of concurrent exports, so that imports do not queue behind many of them. */
const MAX_CONCURRENT_EXPORTS = 8

/** Exports the blocks of finished runs in the background. */
export class Exporter {
  #activeExports = 0

  /**
   * @param clock - time source
   * @param fleet - engines, loads and links
   * @param directory - reserves and publishes objects
   * @param pacer - enforces this host's share of the links
   * @param configuration - returns the configuration in force
   * @param work - tracks the work that a graceful shutdown waits for
   * @param decisions - counts decisions and outcomes
   * @param linkBytes - counts transferred bytes by direction
   */
  constructor (
    private readonly clock: Clock,
    private readonly fleet: FleetWatcher,
    private readonly directory: DirectoryClient,
    private readonly pacer: ExportPacer,
    private readonly configuration: () => ConfigurationIndex,
    private readonly work: WorkGate,
    private readonly decisions: LabelledCounter,
    private readonly linkBytes: LabelledCounter
  ) {}

  /**
   * Exports the blocks of a finished run if that is worthwhile. The decision is deferred
   * while imports need the link or too many exports are in progress.
   *
   * @param run - finished run
   */
  async exportIfWorthwhile (run: FinishedRun): Promise<void> {
    const ticket = this.work.beginFollowUp()
    const deadline = this.clock.now() + MAX_DEFERRAL_MS
    while (!await this.#tryOnce(run) && this.clock.now() < deadline) await this.clock.sleep(RETRY_INTERVAL_MS)
    ticket.end()
  }

  /** @returns false if the export should be attempted again later */
  async #tryOnce (run: FinishedRun): Promise<boolean> {
    if (this.#activeExports >= MAX_CONCURRENT_EXPORTS) {
      this.decisions.count('too-many-under-way')
      return false
    }
    this.#activeExports += 1
    try {
      return await this.#decideAndExport(run)
    } finally {
      this.#activeExports -= 1
    }
  }

  async #decideAndExport (run: FinishedRun): Promise<boolean> {
    const salt = cacheSalt({ cacheSecret: run.customer.cacheSecret, model: run.model, version: run.version })
    const keys = blockKeys(salt, run.text)
    const store = this.#chooseStore(keys)
    const load = this.fleet.loads.load(run.engine, this.clock.now())
    if (store === undefined || load === undefined || keys.length === 0) {
      this.decisions.count('no-store')
      return true
    }
    const found = await this.directory.lookup(keys)
    if (!found.ok) {
      this.decisions.count('no-directory')
      return false
    }
    const missingTokens = (keys.length - (found.value.stored.at(-1)?.coversTo ?? 0)) * TOKENS_PER_BLOCK
    const decision = decideExport({
      ...run.profile,
      residenceSeconds: load.residenceSeconds,
      missingTokens,
      missingBytes: missingTokens * load.bytesPerToken,
      prefillTokensPerMs: load.prefillTokensPerMs,
      linkUtilization: this.#relativeBacklog(store)
    })
    this.decisions.count(decision)
    if (decision !== 'export') return decision !== 'link-busy'
    let remaining = missingTokens
    while (remaining > 0) {
      const bytes = Math.min(remaining, MAX_OBJECT_TOKENS) * load.bytesPerToken
      const exported = await this.#waitForLink(store, bytes) ? await this.#exportNextObject(run, keys, store) : 0
      if (exported === 0) break
      remaining -= exported
    }
    return true
  }

  /** Waits before each object until imports have cleared the link and this host's share of it allows the object. */
  async #waitForLink (store: string, bytes: number): Promise<boolean> {
    const deadline = this.clock.now() + MAX_DEFERRAL_MS
    while (this.#relativeBacklog(store) > 1 && this.clock.now() < deadline) await this.clock.sleep(LINK_POLL_INTERVAL_MS)
    return await this.pacer.admit(store, bytes, MAX_DEFERRAL_MS)
  }

  /** Returns the backlog of a link relative to the backlog of a fully busy link. */
  #relativeBacklog (store: string): number {
    const link = this.fleet.links.views(this.clock.now()).get(store)
    return link === undefined ? 1 : link.backlogBytes / link.bytesPerMs / BUSY_BACKLOG_MS
  }

  /** Exports the next object of the chain; returns its tokens, or 0 if there is none or the export failed. */
  async #exportNextObject (run: FinishedRun, keys: readonly string[], store: string): Promise<number> {
    const reserved = await this.directory.reserve({ customer: run.customer.name, store, keys, tokensPerBlock: TOKENS_PER_BLOCK })
    const engine = this.fleet.engine(run.engine)
    const storeAddress = this.configuration().stores.get(store)?.address
    if (reserved === undefined || engine === undefined || storeAddress === undefined) {
      this.decisions.count('nothing-reserved')
      return 0
    }
    const { name, firstBlock } = reserved
    const request = { storeAddress, name, customer: run.customer.name, keys: reserved.keys, tokens: reserved.tokens, firstBlock }
    const exported = await engine.exportBlocks(request, EXPORT_TIMEOUT_MS)
    if (!exported.ok) {
      this.decisions.count(exported.error.kind === 'rejected' ? exported.error.detail : 'export-failed')
      await this.directory.abandon(keys, name)
      return 0
    }
    this.linkBytes.count('export', exported.value.bytes)
    const published = await this.directory.publish(keys, name, exported.value)
    this.decisions.count(published ? 'published' : 'not-published')
    return published ? reserved.tokens : 0
  }

  /** Chooses the same store for the same chain while that store is available, so that imports read the chain over one link. */
  #chooseStore (keys: readonly string[]): string | undefined {
    return rendezvousOrder(keys[0] ?? '', this.fleet.availableStores(this.clock.now()))[0]
  }
}
