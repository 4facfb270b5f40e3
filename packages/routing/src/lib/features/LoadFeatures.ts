/**
 * Decides which features for hard load are in use on an entry host.
 *
 * Each feature changes which requests wait, are refused or are sent where, so a deployment gets them only if its
 * settings ask for them. With `auto`, they are in use where callers are declared to compete for room, and where an
 * engine states that it shares its machine: there the fixed assumptions about engines do not hold.
 */
import { z } from 'zod'

/** Features that a deployment can ask for. */
export const loadFeatureSchema = z.enum([
  /** Hosts lend each other the unused part of the retry budget. */
  'shared-retry-budget',
  /** Requests that wait stand in one order over all hosts. */
  'waiting-order',
  /** Choices account for the pauses that they cause in running streams. */
  'stream-pace',
  /** Estimates use the pace that engines state for their shared machines. */
  'machine-pace',
  /** The cost of other data centres follows their distance. */
  'data-centre-distance',
  /** Bytes held for slow readers are counted and bounded. */
  'slow-readers'
])

/** Name of a feature. */
export type LoadFeature = z.infer<typeof loadFeatureSchema>

/** One entry of the setting: a feature, or `auto` for all features where the deployment shows a need. */
export const loadFeatureChoiceSchema = z.enum([...loadFeatureSchema.options, 'auto'])

/** One entry of the setting. */
export type LoadFeatureChoice = z.infer<typeof loadFeatureChoiceSchema>

/** Why features are in use. */
export type LoadFeatureReason = 'off' | 'configured' | 'competing-callers' | 'shared-machines'

/** The features in use, which may grow once while the host runs. */
export class LoadFeatures {
  readonly #enabled: Set<LoadFeature>
  readonly #isAutomatic: boolean
  #reason: LoadFeatureReason
  #listener: () => void = () => {}

  /**
   * @param choices - the setting; empty if no feature is wanted
   * @param hasCompetingCallers - whether the deployment declares that its callers compete for room
   */
  constructor (choices: readonly LoadFeatureChoice[] = [], hasCompetingCallers = false) {
    this.#isAutomatic = choices.includes('auto')
    this.#enabled = new Set(choices.filter(choice => choice !== 'auto'))
    this.#reason = this.#enabled.size > 0 ? 'configured' : 'off'
    if (hasCompetingCallers) this.#enableAutomatically('competing-callers')
  }

  /**
   * @param feature - name of a feature
   * @returns whether the feature is in use now
   */
  isEnabled (feature: LoadFeature): boolean {
    return this.#enabled.has(feature)
  }

  /** Features in use, in the order of their declaration. */
  get enabled (): readonly LoadFeature[] { return loadFeatureSchema.options.filter(feature => this.#enabled.has(feature)) }

  /** Why they are in use. */
  get reason (): LoadFeatureReason { return this.#reason }

  /** @param listener - called after features have come into use */
  onChange (listener: () => void): void {
    this.#listener = listener
  }

  /** Records that an engine has stated a pace of its machine other than the usual one. */
  observeSharedMachine (): void {
    if (this.#enabled.size === loadFeatureSchema.options.length || !this.#isAutomatic) return
    this.#enableAutomatically('shared-machines')
    this.#listener()
  }

  #enableAutomatically (reason: LoadFeatureReason): void {
    if (!this.#isAutomatic) return
    for (const feature of loadFeatureSchema.options) this.#enabled.add(feature)
    this.#reason = reason
  }
}
