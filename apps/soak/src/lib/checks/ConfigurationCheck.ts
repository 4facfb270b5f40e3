/** A site that was acknowledged is never lost, and no reader or host goes back behind one. */
import type { RequestHistory } from '../RequestHistory.js'

/** How long a host may act on a confirmed configuration, in milliseconds: the product's default, with room for the two clocks. */
const FRESHNESS_MS = 3000 + 200

const OK = 200
const NOT_FOUND = 404

/** A site as an operator read it. */
export interface SiteRead {
  readonly control: string
  readonly startedAt: number
  readonly version: number
  readonly source: string
}

/** A caller's question whether a host knows a site version. */
export interface SiteProbe {
  readonly host: string
  readonly version: number
  readonly sentAt: number
  readonly endedAt: number
  readonly status: number
}

interface Acknowledgement { readonly version: number, readonly at: number }

/** Follows what operators were told and what readers and callers see. */
export class ConfigurationCheck {
  readonly #sources = new Map<number, string>()
  readonly #acknowledged: Acknowledgement[] = []
  readonly #seen = new Map<string, Acknowledgement[]>()

  /** @param history - takes what is wrong */
  constructor (private readonly history: RequestHistory) {}

  /** The newest acknowledged version. */
  get newest (): number { return this.acknowledgedBefore(Number.POSITIVE_INFINITY) }

  /** @returns the newest version that was acknowledged before a time */
  acknowledgedBefore (time: number): number {
    return newestBefore(this.#acknowledged, time)
  }

  /** A site is about to be sent. */
  recordSent (version: number, source: string): void {
    this.#sources.set(version, source)
  }

  /** An operator was told that a site is accepted. */
  recordAcknowledgement (version: number): void {
    this.#acknowledged.push({ version, at: Date.now() })
  }

  /** @param reading - what a control host said */
  recordRead ({ control, startedAt, version, source }: SiteRead): void {
    const newestAcknowledged = this.acknowledgedBefore(startedAt)
    if (version < newestAcknowledged) this.#recordViolation(`reads version ${version} after ${newestAcknowledged} was acknowledged`, control)
    else if (source !== this.#sources.get(version)) this.#recordViolation(`version ${version} is not what was sent`, control)
  }

  /** @param probe - what a host answered a caller */
  recordProbe ({ host, version, sentAt, endedAt, status }: SiteProbe): void {
    const seen = this.#seen.get(host) ?? []
    this.#seen.set(host, seen)
    if (status === OK) seen.push({ version, at: endedAt })
    if (status !== NOT_FOUND) return
    if (newestBefore(seen, sentAt) >= version) this.#recordViolation(`does not know version ${version} any more`, host)
    if (this.acknowledgedBefore(sentAt - FRESHNESS_MS) >= version) this.#recordViolation(`acts without version ${version}, acknowledged over ${FRESHNESS_MS} ms before`, host)
  }

  #recordViolation (detail: string, process: string): void {
    this.history.recordViolation('configuration-never-reverts', `${process} ${detail}`, [process])
  }
}

function newestBefore (versions: readonly Acknowledgement[], time: number): number {
  return versions.reduce((newest, { version, at }) => at < time ? Math.max(newest, version) : newest, 0)
}
