/** Keeps the blocks of finished runs in stores when the chance of return is worth link and space. */
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

/** A run that has ended. */
export interface FinishedRun {
  readonly customer: Customer
  readonly model: string
  readonly profile: Profile
  readonly engine: string
  readonly version: string
  /** Prompt and answer. */
  readonly text: string
}

/** Longest time an export may take, in milliseconds. */
const EXPORT_MS = 15_000

/** How long an export is put off while the link is busy, and the pause between looks, in milliseconds. */
const PATIENCE_MS = 10_000
const PAUSE_MS = 300

/** Interval between looks at a busy link, in milliseconds. */
const LINK_LOOK_MS = 20

/** Backlog on a link, as time, that counts as fully busy. In milliseconds. */
const BUSY_BACKLOG_MS = 60

/** Tokens in the largest object that the directory reserves. */
const LARGEST_OBJECT_TOKENS = DEFAULT_SHARD_SETTINGS.blocksPerObject * TOKENS_PER_BLOCK

/** Exports under way at once; imports must not wait behind a crowd of them. */
const EXPORTS_AT_ONCE = 8

/** Exports blocks in the background. */
export class Exporter {
  #underWay = 0

  /**
   * @param clock - time
   * @param fleet - engines, loads and links
   * @param directory - reserves names and publishes
   * @param pacer - this host's share of the links
   * @param configuration - configuration in force
   * @param work - what a planned stop waits for
   * @param decisions - counts decisions and outcomes
   * @param linkBytes - counts bytes by direction
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
   * Decides on a finished run and exports it if worthwhile. While imports need the
   * link, or many exports are under way, the decision is put off.
   *
   * @param run - the run
   */
  async exportIfWorthwhile (run: FinishedRun): Promise<void> {
    const ticket = this.work.beginFollowUp()
    const deadline = this.clock.now() + PATIENCE_MS
    while (!await this.#tryOnce(run) && this.clock.now() < deadline) await this.clock.sleep(PAUSE_MS)
    ticket.end()
  }

  /** @returns false if it should be tried again later */
  async #tryOnce (run: FinishedRun): Promise<boolean> {
    if (this.#underWay >= EXPORTS_AT_ONCE) {
      this.decisions.count('too-many-under-way')
      return false
    }
    this.#underWay += 1
    try {
      return await this.#decideAndExport(run)
    } finally {
      this.#underWay -= 1
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
      linkUtilization: this.#linkBusy(store)
    })
    this.decisions.count(decision)
    if (decision !== 'export') return decision !== 'link-busy'
    let remaining = missingTokens
    while (remaining > 0) {
      const bytes = Math.min(remaining, LARGEST_OBJECT_TOKENS) * load.bytesPerToken
      const exported = await this.#mayExport(store, bytes) ? await this.#exportNext(run, keys, store) : 0
      if (exported === 0) break
      remaining -= exported
    }
    return true
  }

  /** Before each object, lets imports go first and keeps to this host's share of the link. */
  async #mayExport (store: string, bytes: number): Promise<boolean> {
    const deadline = this.clock.now() + PATIENCE_MS
    while (this.#linkBusy(store) > 1 && this.clock.now() < deadline) await this.clock.sleep(LINK_LOOK_MS)
    return await this.pacer.admit(store, bytes, PATIENCE_MS)
  }

  /** Backlog of a link as a multiple of what exports may find there. */
  #linkBusy (store: string): number {
    const link = this.fleet.links.views(this.clock.now()).get(store)
    return link === undefined ? 1 : link.backlogBytes / link.bytesPerMs / BUSY_BACKLOG_MS
  }

  /** Exports the next object of the chain; returns its tokens, 0 when there is none or it failed. */
  async #exportNext (run: FinishedRun, keys: readonly string[], store: string): Promise<number> {
    const reserved = await this.directory.reserve({ customer: run.customer.name, store, keys, tokensPerBlock: TOKENS_PER_BLOCK })
    const engine = this.fleet.engine(run.engine)
    const storeAddress = this.configuration().stores.get(store)?.address
    if (reserved === undefined || engine === undefined || storeAddress === undefined) {
      this.decisions.count('nothing-reserved')
      return 0
    }
    const { name, firstBlock } = reserved
    const request = { storeAddress, name, customer: run.customer.name, keys: reserved.keys, tokens: reserved.tokens, firstBlock }
    const exported = await engine.exportBlocks(request, EXPORT_MS)
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

  /** The same chain goes to the same store while that store is up, so that it is read over one link. */
  #chooseStore (keys: readonly string[]): string | undefined {
    return rendezvousOrder(keys[0] ?? '', this.fleet.storesUp(this.clock.now()))[0]
  }
}
