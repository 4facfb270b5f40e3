/** Names for incarnations of configured endpoints, which count their own starts. */

const SEPARATOR = '#'
const NAME_PATTERN = new RegExp(`^(.+)${SEPARATOR}(\\d+)$`)

/** One incarnation of a configured endpoint. */
export interface ConfiguredIncarnation {
  readonly endpoint: string
  readonly incarnation: number
}

/** @returns a name that {@link parseConfiguredIncarnation} can parse */
export function configuredIncarnationName ({ endpoint, incarnation }: ConfiguredIncarnation): string {
  return `${endpoint}${SEPARATOR}${incarnation}`
}

/**
 * @param name - name of an incarnation
 * @returns the incarnation; undefined if the name has another format
 */
export function parseConfiguredIncarnation (name: string): ConfiguredIncarnation | undefined {
  const [, endpoint, incarnation] = NAME_PATTERN.exec(name) ?? []
  return endpoint === undefined || incarnation === undefined ? undefined : { endpoint, incarnation: Number(incarnation) }
}
