/** All events of a stream come from one version of the software, also if its caller takes it up at another host. */
import type { RequestCheck } from '../RequestHistory.js'
import type { Outcome } from '../observations.js'

/** {@link RequestCheck} that reports mixed software versions. */
export class OneSoftwareVersionCheck implements RequestCheck {
  readonly guarantee = 'one-software-version'
  /** Versions by the request that brought the first event. */
  readonly #versions = new Map<string, Set<string>>()

  onOutcome ({ request, end }: Outcome): string | undefined {
    const first = request.takenUp?.first ?? request.id
    const versions = this.#versions.get(first) ?? new Set<string>()
    for (const { software } of end.events) versions.add(software)
    if (end.events.length > 0) this.#versions.set(first, versions)
    return versions.size > 1 ? `the stream that ${first} began mixes software ${[...versions].join(' and ')}` : undefined
  }
}
