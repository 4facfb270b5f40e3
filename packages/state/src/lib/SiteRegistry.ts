/** Replicated state that is replaced as a whole under increasing versions: the site, the desired weights and the control host that may send orders. */
import type { Site } from '@eelgrassmux/schema/site/siteSchema'
import type { CommandResult, NameWeightsCommand, DesiredWeights, OrderHolder, PutSiteCommand, SiteImage } from './commands.js'

/** The site in force, with the document that the operator sent. */
export interface StoredSite {
  readonly site: Site
  /** The document byte for byte, so that the operator reads back what was sent. */
  readonly source: Uint8Array
}

/** The highest version wins; a command with a version that is not higher is acknowledged without effect. */
export class SiteRegistry {
  #put: StoredSite | undefined
  #weights = new Map<string, number>()
  #orderHolder: OrderHolder | undefined

  /** The site in force; undefined before the first one. */
  get put (): StoredSite | undefined { return this.#put }
  get orderHolder (): OrderHolder | undefined { return this.#orderHolder }

  /** Version of the weights that each model should run. */
  get weights (): DesiredWeights[] {
    return [...this.#weights].map(([model, version]) => ({ model, version }))
  }

  /**
   * @param command - complete site
   * @returns the result for the proposer, and whether the view changed
   */
  putSite (command: PutSiteCommand): { result: CommandResult, hasChanged: boolean } {
    const hasChanged = command.site.version > (this.#put?.site.version ?? -1)
    if (hasChanged) this.#put = { site: command.site, source: command.source }
    return { result: { kind: 'site-accepted', version: this.#put?.site.version ?? command.site.version }, hasChanged }
  }

  /**
   * @param command - weights that a model should run
   * @returns the result for the proposer, and whether the view changed
   */
  nameWeights (command: NameWeightsCommand): { result: CommandResult, hasChanged: boolean } {
    const hasChanged = command.version > (this.#weights.get(command.model) ?? 0)
    if (hasChanged) this.#weights.set(command.model, command.version)
    return { result: { kind: 'done' }, hasChanged }
  }

  /**
   * Records which control host may send orders from now on; ignored if the holder of a later term is known.
   *
   * @param holder - the host and the term in which it is leader
   */
  claimOrders (holder: OrderHolder): CommandResult {
    if (holder.term >= (this.#orderHolder?.term ?? 0)) this.#orderHolder = holder
    return { kind: 'done' }
  }

  /** @returns the state for a snapshot */
  image (): SiteImage {
    return { put: this.#put, weights: this.weights, orderHolder: this.#orderHolder }
  }

  /** @param image - state from a snapshot; replaces the current state */
  restore (image: SiteImage): void {
    this.#put = image.put
    this.#weights = new Map(image.weights.map(({ model, version }) => [model, version]))
    this.#orderHolder = image.orderHolder
  }
}
