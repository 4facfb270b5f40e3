/** Names of incarnations of endpoints that the configuration names and that count their starts themselves. */

const SEPARATOR = '#'
const NAME = new RegExp(`^(.+)${SEPARATOR}(\\d+)$`)

/** One incarnation. */
export interface ConfiguredIncarnation {
  readonly endpoint: string
  readonly incarnation: number
}

/** @returns a name that {@link parseConfiguredIncarnation} reads */
export function configuredIncarnationName ({ endpoint, incarnation }: ConfiguredIncarnation): string {
  return `${endpoint}${SEPARATOR}${incarnation}`
}

/**
 * @param name - of an incarnation
 * @returns what it names; undefined if it is no such name
 */
export function parseConfiguredIncarnation (name: string): ConfiguredIncarnation | undefined {
  const [, endpoint, incarnation] = NAME.exec(name) ?? []
  return endpoint === undefined || incarnation === undefined ? undefined : { endpoint, incarnation: Number(incarnation) }
}
