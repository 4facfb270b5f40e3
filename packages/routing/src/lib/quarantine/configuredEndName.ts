/** Names of incarnations of endpoints that the configuration names and that count their starts themselves. */

const SEPARATOR = '#'
const NAME = new RegExp(`^(.+)${SEPARATOR}(\\d+)$`)

/** One incarnation. */
export interface ConfiguredEnd {
  readonly endpoint: string
  readonly incarnation: number
}

/** @returns a name that {@link parseConfiguredEnd} reads */
export function configuredEndName ({ endpoint, incarnation }: ConfiguredEnd): string {
  return `${endpoint}${SEPARATOR}${incarnation}`
}

/**
 * @param name - of an incarnation
 * @returns what it names; undefined if it is no such name
 */
export function parseConfiguredEnd (name: string): ConfiguredEnd | undefined {
  const [, endpoint, incarnation] = NAME.exec(name) ?? []
  return endpoint === undefined || incarnation === undefined ? undefined : { endpoint, incarnation: Number(incarnation) }
}
