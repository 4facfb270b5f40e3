/**
 * The text under which engines and stores keep prompt parts apart.
 *
 * Parts read under different weights must never meet, and an isolated customer
 * shares none with anybody. Engines and stores compare nothing but this text.
 */

const PATTERN = /^v(\d+)(?:\/.*)?$/

/**
 * @param version - version of the weights
 * @param isolatedCustomer - name of the customer, if it shares nothing
 * @returns the text
 */
export function cacheScope (version: number, isolatedCustomer: string | undefined): string {
  return isolatedCustomer === undefined ? `v${version}` : `v${version}/${isolatedCustomer}`
}

/**
 * @param scope - a text made by {@link cacheScope}
 * @returns the version of the weights in it, or undefined for any other text
 */
export function versionOfScope (scope: string): number | undefined {
  const match = PATTERN.exec(scope)
  return match === null ? undefined : Number(match[1])
}
