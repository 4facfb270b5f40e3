/** Keeps the blocks of finished runs in stores when the chance of return is worth link and space. */
import { blockKeys, cacheSalt, TOKENS_PER_BLOCK } from '@eelgrassmux/cache/blockKeys'
import { rendezvousOrder } from '@eelgrassmux/cache/rendezvous'
import type { WorkGate } from '@eelgrassmux/daemon/WorkGate'
import { decideKeep } from '@eelgrassmux/policy/placement/decideKeep'
import type { Customer, Profile } from '@eelgrassmux/schema/configuration'
import type { ConfigurationIndex } from '@eelgrassmux/schema/ConfigurationIndex'
import type { LabelledCounter } from '@eelgrassmux/telemetry/Telemetry'
import type { FleetWatcher } from '../fleet/FleetWatcher.js'
import type { DirectoryClient } from './DirectoryClient.js'

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

/** Backlog on a link, as time, that counts as fully busy. In milliseconds. */
const BUSY_BACKLOG_MS = 250

/** Exports under way at once; imports must not wait behind a crowd of them. */
const EXPORTS_AT_ONCE = 4

/** Exports blocks in the background. */
export class Exporter {
  #underWay = 0

  /**
   * @param fleet - engines, loads and links
   * @param directory - reserves names and publishes
   * @param configuration - configuration in force
   * @param work - what a planned stop waits for
   * @param decisions - counts decisions and outcomes
   * @param linkBytes - counts bytes by direction
   */
  constructor (
    private readonly fleet: FleetWatcher,
    private readonly directory: DirectoryClient,
    private readonly configuration: () => ConfigurationIndex,
    private readonly work: WorkGate,
    private readonly decisions: LabelledCounter,
    private readonly linkBytes: LabelledCounter
  ) {}

  /**
   * Decides on a finished run and exports it if worthwhile.
   *
   * @param run - the run
   */
  async consider (run: FinishedRun): Promise<void> {
    const salt = cacheSalt({ cacheSecret: run.customer.cacheSecret, model: run.model, version: run.version })
    const keys = blockKeys(salt, run.text)
    const store = this.#chooseStore(keys)
    const load = this.fleet.loads.load(run.engine, performance.now())
    if (store === undefined || load === undefined || keys.length === 0) {
      this.decisions.count('no-store')
      return
    }
    const found = await this.directory.lookup(keys)
    if (!found.ok) {
      this.decisions.count('no-directory')
      return
    }
    const missingTokens = (keys.length - (found.value.stored.at(-1)?.coversTo ?? 0)) * TOKENS_PER_BLOCK
    const link = this.fleet.links.views(performance.now()).get(store)
    const decision = decideKeep({
      ...run.profile,
      residenceSeconds: load.residenceSeconds,
      missingTokens,
      missingBytes: missingTokens * load.bytesPerToken,
      prefillTokensPerMs: load.prefillTokensPerMs,
      linkBytesPerMs: link?.bytesPerMs ?? 0,
      linkBusy: link === undefined ? 1 : link.backlogBytes / link.bytesPerMs / BUSY_BACKLOG_MS
    })
    this.decisions.count(decision)
    if (decision !== 'export') return
    if (this.#underWay >= EXPORTS_AT_ONCE) {
      this.decisions.count('too-many-under-way')
      return
    }
    this.#underWay += 1
    const ticket = this.work.beginFollowUp()
    try {
      while (await this.#exportNext(run, keys, store));
    } finally {
      this.#underWay -= 1
      ticket.end()
    }
  }

  /** Exports the next object of the chain; false when there is none or it failed. */
  async #exportNext (run: FinishedRun, keys: readonly string[], store: string): Promise<boolean> {
    const reserved = await this.directory.reserve({ customer: run.customer.name, store, keys, tokensPerBlock: TOKENS_PER_BLOCK })
    const engine = this.fleet.engine(run.engine)
    const storeAddress = this.configuration().stores.get(store)?.address
    if (reserved === undefined || engine === undefined || storeAddress === undefined) {
      this.decisions.count('nothing-reserved')
      return false
    }
    const { name, firstBlock } = reserved
    const request = { storeAddress, name, customer: run.customer.name, keys: reserved.keys, tokens: reserved.tokens, firstBlock }
    const exported = await engine.exportBlocks(request, EXPORT_MS)
    if (!exported.ok) {
      this.decisions.count(exported.error.kind === 'rejected' ? exported.error.detail : 'export-failed')
      await this.directory.abandon(keys, name)
      return false
    }
    this.linkBytes.count('export', exported.value.bytes)
    const published = await this.directory.publish(keys, name, exported.value)
    this.decisions.count(published ? 'published' : 'not-published')
    return published
  }

  /** The same chain goes to the same store while that store is up, so that it is read over one link. */
  #chooseStore (keys: readonly string[]): string | undefined {
    return rendezvousOrder(keys[0] ?? '', this.fleet.storesUp(performance.now()))[0]
  }
}
