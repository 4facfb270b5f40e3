/** Detects whether endpoints have crashed after their connections broke. */
import { incarnationName } from '@eelgrassmux/routing/endpoints/incarnationName'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { ReplicatedService } from '@eelgrassmux/schema/site/siteSchema'
import type { EndpointProbe } from '../load/LoadBoardTask.js'

/** Probes an endpoint. Resolves to undefined if it cannot be determined yet whether the endpoint has crashed. */
export type CrashProbe = () => Promise<boolean | undefined>

/** Knowledge about an endpoint before it is probed: `ended`, a probe to run, or undefined if neither is available. */
export type CrashKnowledge = 'ended' | CrashProbe | undefined

/** Finds out which incarnations of endpoints have ended. */
export interface CrashDetector {
  /**
   * @param names - names of incarnations
   * @returns the knowledge about each incarnation
   */
  check (names: readonly string[]): Map<string, CrashKnowledge>
}

/** Dependencies of {@link ListedCrashDetector}. */
export interface ListedCrashDetectorPorts {
  /** Returns the current endpoints of the site. */
  endpoints (): readonly ListedEndpoint[]
  /** @returns the service with the given name, or undefined if the site does not define it */
  service (name: string): ReplicatedService | undefined
  /** Absent if endpoints are not probed; crashes are then detected only by the list. */
  readonly probe?: EndpointProbe | undefined
}

/** {@link CrashDetector} based on the platform's list. An incarnation that is no longer listed has ended. */
export class ListedCrashDetector implements CrashDetector {
  /** @param ports - dependencies */
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
      // An endpoint that can restart under its id may already answer as its next incarnation, so only the list can rule out a crash.
      return hasCrashed === false && endpoint.startedAtMs !== undefined ? undefined : hasCrashed
    }
  }
}
