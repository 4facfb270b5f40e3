/** {@link CrashDetector} for endpoints of the configuration, which count their starts and report the count. */
import { EngineClient } from '@eelgrassmux/backends/EngineClient'
import type { BackendError } from '@eelgrassmux/backends/BackendError'
import { ServiceClient } from '@eelgrassmux/backends/ServiceClient'
import { parseConfiguredIncarnation } from '@eelgrassmux/routing/quarantine/configuredIncarnationName'
import type { Configuration, EngineEndpoint, PlainEndpoint } from '@eelgrassmux/schema/configuration'
import type { Result } from '@eelgrassmux/schema/Result'
import type { CrashKnowledge, CrashDetector } from './CrashDetector.js'

/** Queries the incarnation of an endpoint. */
export type IncarnationQuery = (endpoint: EngineEndpoint | PlainEndpoint) => Promise<Result<{ readonly incarnation: number }, BackendError>>

/** Detects crashes of endpoints of the current configuration. */
export class ConfiguredCrashDetector implements CrashDetector {
  /**
   * @param configuration - returns the current configuration
   * @param ask - queries the incarnation of an endpoint
   */
  constructor (private readonly configuration: () => Configuration, private readonly ask: IncarnationQuery = queryIncarnation) {}

  check (names: readonly string[]): Map<string, CrashKnowledge> {
    const endpoints = new Map(this.configuration().documents.flatMap(document => document.kind === 'endpoint' ? [[document.name, document]] : []))
    return new Map(names.map(name => {
      const parsed = parseConfiguredIncarnation(name)
      const endpoint = parsed === undefined ? undefined : endpoints.get(parsed.endpoint)
      return [name, parsed === undefined || endpoint === undefined ? 'ended' : async () => await this.#hasCrashed(endpoint, parsed.incarnation)]
    }))
  }

  async #hasCrashed (endpoint: EngineEndpoint | PlainEndpoint, incarnation: number): Promise<boolean | undefined> {
    const answer = await this.ask(endpoint)
    if (answer.ok) return answer.value.incarnation !== incarnation
    return answer.error.kind === 'connect-failed' ? true : undefined
  }
}

async function queryIncarnation ({ type, address }: EngineEndpoint | PlainEndpoint): Promise<Result<{ readonly incarnation: number }, BackendError>> {
  if (type === 'engine') {
    const engine = new EngineClient(address)
    const report = await engine.report()
    await engine.close()
    return report
  }
  const service = new ServiceClient(address)
  const health = await service.health()
  await service.close()
  return health
}
