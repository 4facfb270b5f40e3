/** Chooses the host that is asked to serve a request for a host that is partitioned. */

/** A host that may be asked. */
export interface RelayCandidate {
  readonly host: string
  /** Requests of the partitioned host that it has not answered yet. */
  readonly pending: number
  /** Whether it has just refused a request, or could not be reached. */
  readonly isAvoided: boolean
}

/**
 * Prefers hosts that are not avoided, then those with the fewest pending requests: an unresponsive or overloaded host
 * accumulates pending requests, and gets no more while the others respond.
 *
 * @param candidates - hosts that the request was not offered to yet
 * @param random - number in [0, 1) that breaks ties
 * @returns the host, or undefined if there are none
 */
export function chooseRelayHost (candidates: readonly RelayCandidate[], random: number): string | undefined {
  const preferred = candidates.filter(({ isAvoided }) => !isAvoided)
  const usable = preferred.length > 0 ? preferred : candidates
  const fewest = Math.min(...usable.map(({ pending }) => pending))
  const ties = usable.filter(({ pending }) => pending === fewest)
  return ties[Math.floor(random * ties.length)]?.host
}
