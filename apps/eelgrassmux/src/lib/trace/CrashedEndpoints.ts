/** Finds lines that explain why endpoints crashed while they ran a request: other requests lost with them, and quarantine decisions. */
import type { TimeRange } from './DroppedLineReports.js'
import type { TracedLine } from './TracedLine.js'

/** Matches request fingerprints anywhere in the text of a field. */
const FINGERPRINT_PATTERN = /\b[0-9a-f]{32}\b/g

/** Event of a failed attempt. With a fingerprint, it shows that the request was running on the endpoint when the endpoint crashed. */
const ATTEMPT_FAILED_EVENT = 'attempt-failed'

/** Crashed endpoints and fingerprints that the lines of one request name. */
export class CrashedEndpoints {
  readonly #endpoints: ReadonlySet<string>
  readonly #fingerprints: ReadonlySet<string>

  /** @param lines - log lines of the request */
  constructor (lines: readonly TracedLine[]) {
    const lostAttempts = lines.filter(({ event, fields }) => event === ATTEMPT_FAILED_EVENT && fields['fingerprint'] !== undefined)
    this.#endpoints = new Set(lostAttempts.map(({ fields }) => String(fields['endpoint'])))
    this.#fingerprints = new Set(lines.flatMap(({ fields }) => Object.values(fields).flatMap(value => String(value).match(FINGERPRINT_PATTERN) ?? [])))
  }

  /**
   * @param text - unparsed text of a line
   * @returns whether the line may be related to the crashes and has to be parsed
   */
  mayBeRelated (text: string): boolean {
    return [...this.#endpoints, ...this.#fingerprints].some(name => text.includes(name))
  }

  /**
   * @param line - a log line that names an endpoint or a fingerprint
   * @param range - time during which attempts of other requests on the endpoints are related
   * @returns whether the line is related to the crashes
   */
  isRelated ({ event, fields, time }: TracedLine, range: TimeRange): boolean {
    if (this.#fingerprints.has(String(fields['fingerprint'] ?? ''))) return true
    if (event === ATTEMPT_FAILED_EVENT) return fields['fingerprint'] !== undefined && this.#endpoints.has(String(fields['endpoint'])) && time >= range.from && time <= range.to
    const endpointNames = `${String(fields['endpoints'] ?? '')} ${String(fields['endpoint'] ?? '')}`.split(' ')
    return (event === 'quarantine-decided' || event === 'endpoint-crash-checked') && endpointNames.some(name => this.#endpoints.has(name))
  }
}
