/** Which lines say why the endpoints ended that a request was lost with: who else was there, and what was judged. */
import type { TimeRange } from './DroppedLineReports.js'
import type { TracedLine } from './TracedLine.js'

/** A request's fingerprint wherever it stands in a field. */
const FINGERPRINT_PATTERN = /\b[0-9a-f]{32}\b/g

/** Lines about requests whose fate at an endpoint shows who was there when it ended. */
const ATTEMPT_FAILED_EVENT = 'attempt-failed'

/** Endpoints and fingerprints that lines of one request name. */
export class CrashedEndpoints {
  readonly #endpoints: ReadonlySet<string>
  readonly #fingerprints: ReadonlySet<string>

  /** @param lines - of the request */
  constructor (lines: readonly TracedLine[]) {
    const lostAttempts = lines.filter(({ event, fields }) => event === ATTEMPT_FAILED_EVENT && fields['fingerprint'] !== undefined)
    this.#endpoints = new Set(lostAttempts.map(({ fields }) => String(fields['endpoint'])))
    this.#fingerprints = new Set(lines.flatMap(({ fields }) => Object.values(fields).flatMap(value => String(value).match(FINGERPRINT_PATTERN) ?? [])))
  }

  /**
   * @param text - a line as written
   * @returns whether it is worth reading
   */
  mayBeRelated (text: string): boolean {
    return [...this.#endpoints, ...this.#fingerprints].some(name => text.includes(name))
  }

  /**
   * @param line - that names an endpoint or a fingerprint
   * @param range - time in which others count that were at an endpoint
   */
  isRelated ({ event, fields, time }: TracedLine, range: TimeRange): boolean {
    if (this.#fingerprints.has(String(fields['fingerprint'] ?? ''))) return true
    if (event === ATTEMPT_FAILED_EVENT) return fields['fingerprint'] !== undefined && this.#endpoints.has(String(fields['endpoint'])) && time >= range.from && time <= range.to
    const endpointNames = `${String(fields['endpoints'] ?? '')} ${String(fields['endpoint'] ?? '')}`.split(' ')
    return (event === 'quarantine-decided' || event === 'endpoint-crash-checked') && endpointNames.some(name => this.#endpoints.has(name))
  }
}
