/** An acknowledged site is never lost, and no reader or host reverts to a version older than an acknowledged one. */
import type { RequestHistory } from '../RequestHistory.js'
import type { Timeline } from '../Timeline.js'

/** How long a host may act on a confirmed configuration, in milliseconds: the default freshness of 3000 ms, plus 200 ms for the difference between two clocks. */
const FRESHNESS_MS = 3000 + 200

/** Time in which hosts put an acknowledged site in force although connections have gone silent, in milliseconds. */
const ARRIVAL_MS = 2000

/** Time after a silence from which control hosts confirm reads again, in milliseconds. */
const READABLE_MS = 1000

/** Time after a silence during which it is checked, and after any other disturbance during which it is not, in milliseconds. */
const SILENCE_WINDOW_MS = 8000
const DISTURBED_MS = 5000

const OK = 200
const NOT_FOUND = 404

/** Result of reading the site from a control host. */
export interface SiteRead {
  readonly control: string
  readonly startedAt: number
  readonly version: number
  readonly source: string
}

/** Result of a caller's request to the route that a site version adds, which shows whether the host knows that version. */
export interface SiteProbe {
  readonly host: string
  readonly version: number
  readonly sentAt: number
  readonly endedAt: number
  readonly status: number
}

interface Acknowledgement { readonly version: number, readonly at: number }

/** Compares the sites that were acknowledged to the operator with the versions that control hosts and entry hosts return. */
export class ConfigurationCheck {
  readonly #sources = new Map<number, string>()
  readonly #acknowledged: Acknowledgement[] = []
  readonly #seen = new Map<string, Acknowledgement[]>()
  readonly #silences: number[] = []

  /**
   * @param history - records the violations
   * @param timeline - other disturbances
   */
  constructor (private readonly history: RequestHistory, private readonly timeline: Timeline) {}

  /** Records that connections have gone silent. */
  recordSilence (): void {
    this.#silences.push(Date.now())
  }

  /**
   * @param control - control host that could not confirm which site is the newest
   * @param startedAt - when it was asked
   */
  recordRefusedRead (control: string, startedAt: number): void {
    const silentAt = this.#silences.findLast(at => at < startedAt)
    if (silentAt === undefined || startedAt - silentAt < READABLE_MS || !this.#isOnlySilent(startedAt)) return
    this.history.recordViolation('configuration-arrives', `${control} could not confirm the site ${startedAt - silentAt} ms after connections went silent`, [control])
  }

  /** The newest acknowledged version; 0 if there is none. */
  get newest (): number { return this.acknowledgedBefore(Number.POSITIVE_INFINITY) }

  /** @returns the newest version that was acknowledged before the given time; 0 if there is none */
  acknowledgedBefore (time: number): number {
    return newestBefore(this.#acknowledged, time)
  }

  /** Records the source of a site version; called before the site is sent. */
  recordSent (version: number, source: string): void {
    this.#sources.set(version, source)
  }

  /** Records that a control host acknowledged a site version to the operator. */
  recordAcknowledgement (version: number): void {
    this.#acknowledged.push({ version, at: Date.now() })
  }

  /** @param read - what a control host returned */
  recordRead ({ control, startedAt, version, source }: SiteRead): void {
    const newestAcknowledged = this.acknowledgedBefore(startedAt)
    if (version < newestAcknowledged) this.#recordViolation(`returned version ${version} after version ${newestAcknowledged} was acknowledged`, control)
    else if (source !== this.#sources.get(version)) this.#recordViolation(`returned a version ${version} that differs from the one that was sent`, control)
  }

  /** @param probe - how an entry host answered a caller */
  recordProbe ({ host, version, sentAt, endedAt, status }: SiteProbe): void {
    const seen = this.#seen.get(host) ?? []
    this.#seen.set(host, seen)
    if (status === OK) seen.push({ version, at: endedAt })
    if (status !== NOT_FOUND) return
    if (newestBefore(seen, sentAt) >= version) this.#recordViolation(`no longer knows version ${version}`, host)
    if (this.acknowledgedBefore(sentAt - ARRIVAL_MS) >= version && this.#isOnlySilent(sentAt, host)) {
      this.history.recordViolation('configuration-arrives', `${host} does not know version ${version}, which was acknowledged more than ${ARRIVAL_MS} ms earlier, after connections went silent`, [host])
    }
    if (this.acknowledgedBefore(sentAt - FRESHNESS_MS) >= version) this.#recordViolation(`does not know version ${version}, which was acknowledged more than ${FRESHNESS_MS} ms earlier`, host)
  }

  /** Whether connections have gone silent and nothing else has disturbed the control hosts, or this host, lately. */
  #isOnlySilent (now: number, host?: string): boolean {
    const wasDisturbed = (slot: string): boolean => this.timeline.wasDisturbed(slot, now - DISTURBED_MS, now)
    return this.#silences.some(at => at < now && now - at < SILENCE_WINDOW_MS) && !wasDisturbed('control') && (host === undefined || !wasDisturbed(host))
  }

  #recordViolation (detail: string, process: string): void {
    this.history.recordViolation('configuration-never-reverts', `${process} ${detail}`, [process])
  }
}

function newestBefore (versions: readonly Acknowledgement[], time: number): number {
  return versions.reduce((newest, { version, at }) => at < time ? Math.max(newest, version) : newest, 0)
}
