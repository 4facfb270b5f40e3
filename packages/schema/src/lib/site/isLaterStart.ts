/** Order of the starts of one endpoint. */

/**
 * Whether a stated start begins a new incarnation. Starts are read from the clock
 * of the endpoint's own host, so they are compared with each other only, never
 * with a clock of ours. A statement without a start says nothing of a restart.
 *
 * @param stated - start that a message states, in Unix milliseconds
 * @param known - latest start known so far of the same endpoint, in Unix milliseconds
 * @returns true if whatever was learnt under the known start holds no more
 */
export function isLaterStart (stated: number | undefined, known: number | undefined): boolean {
  return stated !== undefined && (known === undefined || stated > known)
}
