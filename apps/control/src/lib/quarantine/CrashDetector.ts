/** Whether endpoints have ended to which connections broke. */
import { incarnationName } from '@eelgrassmux/routing/endpoints/incarnationName'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { ReplicatedService } from '@eelgrassmux/schema/site/siteSchema'
import type { EndpointProbe } from '../load/LoadBoardTask.js'

/** Asks an endpoint; the answer is undefined where it can't be told yet. */
export type CrashProbe = () => Promise<boolean | undefined>

/** What is known without asking: that it has ended, how to ask, or nothing. */
export type CrashKnowledge = 'ended' | CrashProbe | undefined

/** Knows endpoints. */
export interface CrashDetector {
  /**
   * @param names - incarnations
   * @returns what is known of each
   */
  check (names: readonly string[]): Map<string, CrashKnowledge>
}

/** What {@link ListedCrashDetector} needs from around it. */
export interface ListedCrashDetectorPorts {
  /** Endpoints of the site, as of now. */
  endpoints (): readonly ListedEndpoint[]
  /** @returns the service of that name, if the site has it */
  service (name: string): ReplicatedService | undefined
  /** Absent where endpoints are not asked: then only the list tells. */
  readonly probe?: EndpointProbe | undefined
}

/** {@link CrashDetector} by the platform's list: what is listed no more has ended. */
export class ListedCrashDetector implements CrashDetector {
  /** @param ports - surroundings */
  constructor (private readonly ports: ListedCrashDetectorPorts) {}

  check (names: readonly string[]): Map<string, CrashKnowledge> {
    const listed = new Map(this.ports.endpoints().map(endpoint => [incarnationName(endpoint), endpoint]))
    return new Map(names.map(name => [name, this.#knowledge(listed.get(name))]))
  }

  #knowledge (endpoint: ListedEndpoint | undefined): CrashKnowledge {
    const service = endpoint === undefined ? undefined : this.ports.service(endpoint.service)
    if (endpoint === undefined || service === undefined) return 'ended'
    const { probe } = this.ports
    if (probe === undefined) return undefined
    return async () => {
      const hasCrashed = await probe.hasCrashed(endpoint, service)
      // One that may start again under its id would answer for its next incarnation: only the list tells.
      return hasCrashed === false && endpoint.startedAtMs !== undefined ? undefined : hasCrashed
    }
  }
}
