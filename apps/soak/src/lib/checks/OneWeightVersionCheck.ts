/** All events of an answer come from one version of the weights, and a cache scope is used with one version only. */
import type { RunLine } from '../standinProtocol.js'
import type { RequestCheck } from '../RequestHistory.js'
import type { Outcome } from '../observations.js'

/** {@link RequestCheck} that reports mixed weight versions. */
export class OneWeightVersionCheck implements RequestCheck {
  readonly guarantee = 'one-weight-version'
  readonly #versionsBySalt = new Map<string, number>()

  onRun ({ cacheSalt, version }: RunLine): string | undefined {
    if (cacheSalt === '') return undefined
    const first = this.#versionsBySalt.get(cacheSalt) ?? version
    this.#versionsBySalt.set(cacheSalt, first)
    return first === version ? undefined : `versions ${first} and ${version} share the cache scope ${cacheSalt}`
  }

  onOutcome ({ end }: Outcome): string | undefined {
    const versions = new Set(end.events.map(event => event.version))
    return versions.size > 1 ? `the answer mixes versions ${[...versions].join(' and ')}` : undefined
  }
}
