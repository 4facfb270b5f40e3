/** Which lines say why the endpoints ended that a request was lost with: who else was there, and what was judged. */
import type { Span } from './LossReports.js'
import type { TracedLine } from './TracedLine.js'

/** A request's fingerprint wherever it stands in a field. */
const FINGERPRINT = /\b[0-9a-f]{32}\b/g

/** Lines about requests whose fate at an endpoint shows who was there when it ended. */
const LOSS = 'attempt-failed'

/** Endpoints and fingerprints that lines of one request name. */
export class CrashedEndpoints {
  readonly #endpoints: ReadonlySet<string>
  readonly #fingerprints: ReadonlySet<string>

  /** @param lines - of the request */
  constructor (lines: readonly TracedLine[]) {
    const lost = lines.filter(({ event, fields }) => event === LOSS && fields['fingerprint'] !== undefined)
    this.#endpoints = new Set(lost.map(({ fields }) => String(fields['endpoint'])))
    this.#fingerprints = new Set(lines.flatMap(({ fields }) => Object.values(fields).flatMap(value => String(value).match(FINGERPRINT) ?? [])))
  }

  /**
   * @param text - a line as written
   * @returns whether it is worth reading
   */
  mayConcern (text: string): boolean {
    return [...this.#endpoints, ...this.#fingerprints].some(name => text.includes(name))
  }

  /**
   * @param line - that names an endpoint or a fingerprint
   * @param span - time in which others count that were at an endpoint
   */
  concerns ({ event, fields, time }: TracedLine, span: Span): boolean {
    if (this.#fingerprints.has(String(fields['fingerprint'] ?? ''))) return true
    if (event === LOSS) return fields['fingerprint'] !== undefined && this.#endpoints.has(String(fields['endpoint'])) && time >= span.from && time <= span.to
    const named = `${String(fields['endpoints'] ?? '')} ${String(fields['endpoint'] ?? '')}`.split(' ')
    return (event === 'quarantine-decided' || event === 'endpoint-crash-checked') && named.some(name => this.#endpoints.has(name))
  }
}
