/** The part of the agreed state that is put whole under rising versions: the site, named weights, who gives orders. */
import type { Site } from '@eelgrassmux/schema/site/siteSchema'
import type { CommandResult, NameWeightsCommand, DesiredWeights, OrderHolder, PutSiteCommand, SiteImage } from './commands.js'

/** A site in force, with the document that its operator wrote. */
export interface PutSite {
  readonly site: Site
  /** What the operator sent, byte for byte, so that it reads back unchanged. */
  readonly source: Uint8Array
}

/** Highest version wins; whatever is not higher changes nothing and is acknowledged. */
export class SiteRegister {
  #put: PutSite | undefined
  #weights = new Map<string, number>()
  #orderHolder: OrderHolder | undefined

  get put (): PutSite | undefined { return this.#put }
  get orderHolder (): OrderHolder | undefined { return this.#orderHolder }

  /** Weight version that each model should run. */
  get weights (): DesiredWeights[] {
    return [...this.#weights].map(([model, version]) => ({ model, version }))
  }

  /**
   * @param command - a whole site
   * @returns the result for its proposer, and whether the view changed
   */
  putSite (command: PutSiteCommand): { result: CommandResult, hasChanged: boolean } {
    const hasChanged = command.site.version > (this.#put?.site.version ?? -1)
    if (hasChanged) this.#put = { site: command.site, source: command.source }
    return { result: { kind: 'site-accepted', version: this.#put?.site.version ?? command.site.version }, hasChanged }
  }

  /**
   * @param command - weights that a model should run
   * @returns the result for its proposer, and whether the view changed
   */
  nameWeights (command: NameWeightsCommand): { result: CommandResult, hasChanged: boolean } {
    const hasChanged = command.version > (this.#weights.get(command.model) ?? 0)
    if (hasChanged) this.#weights.set(command.model, command.version)
    return { result: { kind: 'done' }, hasChanged }
  }

  /**
   * Records which control host gives orders from now on.
   *
   * @param holder - the host and the term in which it leads
   */
  claimOrders (holder: OrderHolder): CommandResult {
    if (holder.term >= (this.#orderHolder?.term ?? 0)) this.#orderHolder = holder
    return { kind: 'done' }
  }

  /** @returns an image for a snapshot */
  image (): SiteImage {
    return { put: this.#put, weights: this.weights, orderHolder: this.#orderHolder }
  }

  /** @param image - replaces everything */
  restore (image: SiteImage): void {
    this.#put = image.put
    this.#weights = new Map(image.weights.map(({ model, version }) => [model, version]))
    this.#orderHolder = image.orderHolder
  }
}
