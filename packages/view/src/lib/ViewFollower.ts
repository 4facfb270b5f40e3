/** The view that is in force on one host. Its revision only rises. */
import { ConfigurationIndex } from '@eelgrassmux/schema/ConfigurationIndex'
import type { ConfigurationDocument } from '@eelgrassmux/schema/configuration'
import { assertInvariant } from '@eelgrassmux/schema/invariant'
import { QuarantineTable } from '@eelgrassmux/routing/quarantine/QuarantineTable'
import type { ViewMessage } from '@eelgrassmux/rpc/methods/controlMethods'
import type { Site } from '@eelgrassmux/schema/site/siteSchema'
import type { DesiredWeights, Shard } from '@eelgrassmux/state/commands'

/** What a message did. */
export type ViewOutcome = 'advanced' | 'stale' | 'gap'

/** Follows the agreed view through snapshots and changes, from any control host. */
export class ViewFollower {
  #viewRevision = 0
  #shards: readonly Shard[] = []
  #documents = new Map<string, ConfigurationDocument>()
  #site: Site | undefined
  #weights: readonly DesiredWeights[] = []
  #evacuated: ReadonlySet<string> = new Set()
  #index = new ConfigurationIndex(0, { documents: [] })
  /** Requests that are not sent to endpoints. */
  readonly quarantine = new QuarantineTable()

  get viewRevision (): number { return this.#viewRevision }
  get configuration (): ConfigurationIndex { return this.#index }
  get shards (): readonly Shard[] { return this.#shards }
  get site (): Site | undefined { return this.#site }
  /** Weight version that each model should run. */
  get weights (): readonly DesiredWeights[] { return this.#weights }
  /** Data centres whose endpoints get no new work. */
  get evacuated (): ReadonlySet<string> { return this.#evacuated }

  /**
   * Takes a message of a watch. One from a control host that lags is ignored.
   *
   * @param message - snapshot or changes
   * @param now - monotonic milliseconds
   * @returns what it did; after a gap the watch must start again
   */
  apply (message: ViewMessage, now: number): ViewOutcome {
    if (message.viewRevision <= this.#viewRevision) return 'stale'
    if (message.kind === 'snapshot') {
      this.#documents = new Map(message.documents.map(document => [keyOf(document), document]))
      this.quarantine.replace(message.quarantine ?? [], now)
    } else {
      if (message.fromViewRevision !== this.#viewRevision) return 'gap'
      for (const name of message.removes) this.#documents.delete(keyOf(name))
      for (const document of message.upserts) this.#documents.set(keyOf(document), document)
      this.quarantine.applyChanges({ quarantine: message.quarantine ?? [], quarantineRemoved: message.quarantineRemoved ?? [] }, now)
    }
    this.#advance(message)
    return 'advanced'
  }

  #replaceSite (site: Site): void {
    assertInvariant(site.version >= (this.#site?.version ?? 0), 'configuration-never-reverts',
      () => `site ${site.version} after ${this.#site?.version}`)
    this.#site = site
  }

  #advance (message: ViewMessage): void {
    const { viewRevision, revision } = message
    assertInvariant(viewRevision > this.#viewRevision && revision >= this.#index.revision, 'configuration-never-reverts',
      () => `view ${viewRevision} revision ${revision} after ${this.#viewRevision} revision ${this.#index.revision}`)
    const isNewRevision = revision !== this.#index.revision
    this.#viewRevision = viewRevision
    this.#shards = message.shards
    this.#weights = message.weights
    this.#evacuated = new Set(message.evacuated)
    if (message.site !== undefined) this.#replaceSite(message.site)
    if (isNewRevision) this.#index = new ConfigurationIndex(revision, { documents: [...this.#documents.values()] })
  }
}

function keyOf (document: { readonly kind: string, readonly name: string }): string {
  return `${document.kind}/${document.name}`
}
