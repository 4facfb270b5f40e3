/** Comparison of the start times of one endpoint. */

/**
 * Whether a stated start time belongs to a newer incarnation. Start times come from
 * the clock of the endpoint's host, so they are only compared with each other and
 * never with a local clock. A message without a start time does not indicate a restart.
 *
 * @param stated - start time in a message, in Unix milliseconds
 * @param known - latest known start time of the same endpoint, in Unix milliseconds
 * @returns true if everything known about the earlier incarnation is outdated
 */
export function isLaterStart (stated: number | undefined, known: number | undefined): boolean {
  return stated !== undefined && (known === undefined || stated > known)
}
