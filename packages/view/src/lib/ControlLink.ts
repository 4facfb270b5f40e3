/**
 * Connects a host to the control hosts: follows the view, keeps track of its
 * freshness and proposes commands.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import type { ConfigurationIndex } from '@eelgrassmux/schema/ConfigurationIndex'
import { fail, succeed, type Result } from '@eelgrassmux/schema/Result'
import type { DatagramClient } from '@eelgrassmux/rpc/datagrams/DatagramClient'
import { propose, watchView, type HostRole, type StatusRequest, type StatusResponse } from '@eelgrassmux/rpc/methods/controlMethods'
import type { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { QuarantineTable } from '@eelgrassmux/routing/quarantine/QuarantineTable'
import type { Site } from '@eelgrassmux/schema/site/siteSchema'
import type { Command, CommandResult, DesiredWeights, Shard } from '@eelgrassmux/state/commands'
import type { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { EndpointListFollower } from './EndpointListFollower.js'
import { FreshnessLease } from './FreshnessLease.js'
import { StatusReporter } from './StatusReporter.js'
import { StoredPartsFollower, type StoredPartsListener } from './StoredPartsFollower.js'
import { ViewLag, type ViewLagReport } from './ViewLag.js'
import { ViewFollower } from './ViewFollower.js'

/** Identity of this host, and addresses of the control hosts. */
export interface ControlLinkSettings {
  readonly host: string
  readonly role: HostRole
  readonly address: string
  readonly dataCentre: string
  /** Addresses of control hosts, which may change and may be empty for a time; others are learned from the membership. */
  readonly controlAddresses: readonly string[]
  /** How long this host may act on a view after it was confirmed, in milliseconds. */
  readonly freshnessMs: number
  /** Whether this host needs the platform's endpoint list. */
  readonly watchesEndpoints?: boolean
  /** Whether this host needs the peer addresses of the other entry hosts, to notify them of its dispatches. */
  readonly wantsPeers?: boolean
  /** Returns the features for hard load that are in use, for operators; undefined if there are none. */
  loadFeatures? (): StatusRequest['loadFeatures']
  /** Log of this host; absent in tests. */
  readonly telemetry?: Pick<Telemetry, 'logStateChange' | 'gauge'>
}

/** Reason why a command has no result. */
export type ProposeError =
  /** No control host appended the command, so it will never be applied. */
  | { readonly kind: 'not-proposed' }
  /** The command may have been applied, may be applied later, or may be lost. */
  | { readonly kind: 'uncertain' }

const MILLISECONDS_PER_SECOND = 1000

/** Delay before a broken watch is reopened, in milliseconds. */
const WATCH_RETRY_DELAY_MS = 100

/** Time allowed for a view that some control host has applied to arrive through the watch, in milliseconds. */
const VIEW_DELIVERY_TIMEOUT_MS = 100

/** Time for which a newer view must be known before it is logged that this host is behind, in milliseconds; views usually arrive sooner. */
const LOGGED_LAG_MS = 200

/** Delay before a command is proposed to another control host, in milliseconds. */
const PROPOSE_RETRY_DELAY_MS = 50

/** Timeout of one attempt to propose a command, in milliseconds. */
const PROPOSE_ATTEMPT_TIMEOUT_MS = 2000

/** Client of the control hosts; follows them from `start` until `stop`. */
export class ControlLink {
  readonly #follower = new ViewFollower()
  readonly #lease: FreshnessLease
  readonly #abort = new AbortController()
  #accepting = true
  #leaderHint: string | undefined
  #watchAttempt = 0
  #watchRestart = new AbortController()
  #changeListeners: Array<() => void> = []
  readonly #leaderListeners: Array<() => void> = []
  readonly #endpoints: EndpointListFollower
  /** Control host that reported a newer view than the one on this host. */
  #newerView: { readonly address: string, readonly view: number, readonly statedAt: number } | undefined
  #leader: string | undefined
  #wasConfirmed = false
  #watchFailures = 0
  #watchedAddress = ''
  #watchStartedAt = 0
  readonly #viewLag = new ViewLag()
  #isLagLogged = false
  #eventLoopLagMs = Number.POSITIVE_INFINITY
  readonly #statusReporter: StatusReporter
  readonly #storedPartsFollowers: StoredPartsFollower[] = []

  /**
   * @param settings - identity of this host and addresses of the control hosts
   * @param rpc - client for calls and watches
   * @param datagrams - client for status reports
   */
  constructor (private readonly settings: ControlLinkSettings, private readonly rpc: RpcClient, datagrams: DatagramClient) {
    this.#lease = new FreshnessLease(settings.freshnessMs)
    this.#statusReporter = new StatusReporter(datagrams, {
      addresses: () => [...this.#controlAddresses(), ...settings.controlAddresses],
      isWatched: address => address === this.#leader || address === this.#watchedAddress || this.#endpoints.isWatching(address),
      report: () => this.#report(),
      isUrgent: () => !this.#wasConfirmed || this.#leader === undefined,
      onStatement: (address, statement, askedAt) => { this.#onStatement(address, statement, askedAt) },
      onSilence: address => { if (this.#leader === address) this.#setLeader(undefined) },
      onTimer: lateMs => {
        this.#eventLoopLagMs = lateMs
        this.#logLag()
        if (this.#isWatchStuck()) this.#watchRestart.abort()
      }
    })
    this.#endpoints = new EndpointListFollower(rpc, () => this.#watchCandidates(), () => { this.#notifyChangeListeners() })
    const { telemetry } = settings
    telemetry?.gauge('views_behind', 'Views by which this host is behind the newest one that a control host has stated', () => this.viewLag().viewsBehind)
    telemetry?.gauge('view_behind_seconds', 'Time for which this host has known of a newer view', () => this.viewLag().behindMs / MILLISECONDS_PER_SECOND)
    telemetry?.gauge('view_confirmed_age_seconds', 'Time since a majority last confirmed the view in force', () => this.viewLag().confirmedMs / MILLISECONDS_PER_SECOND)
  }

  /** Configuration in force on this host. */
  get configuration (): ConfigurationIndex { return this.#follower.configuration }
  get shards (): readonly Shard[] { return this.#follower.shards }
  get viewRevision (): number { return this.#follower.viewRevision }
  /** Address of the leading control host, if this host knows it. */
  get leader (): string | undefined { return this.#leader }
  /** Addresses of all control hosts that this host knows. */
  get controlHosts (): readonly string[] { return this.#controlAddresses() }
  /** Site in force on this host; undefined until the first one arrives. */
  get site (): Site | undefined { return this.#follower.site }
  /** Version of the weights that each model should run. */
  get weights (): readonly DesiredWeights[] { return this.#follower.weights }
  /** Data centres whose endpoints receive no new requests. */
  get evacuated (): ReadonlySet<string> { return this.#follower.evacuated }
  /** Requests that are not sent to endpoints. */
  get quarantine (): QuarantineTable { return this.#follower.quarantine }
  /** Endpoints as the platform lists them. */
  get endpoints (): readonly ListedEndpoint[] { return this.#endpoints.endpoints }

  /**
   * @param now - monotonic milliseconds
   * @returns milliseconds since the platform returned the endpoint list; infinite before the first list
   */
  endpointListAgeMs (now: number): number {
    return this.#endpoints.ageMs(now)
  }

  /**
   * Delay of the last status report timer, in milliseconds; the process did not handle its sockets
   * for that long. Infinite before the first report, because connections wait while the process loads.
   */
  get eventLoopLagMs (): number { return this.#eventLoopLagMs }
  /** Number of entry hosts that may be alive. */
  get liveEntries (): number { return this.#lease.liveEntries(performance.now()) }

  /** Peer addresses of the other entry hosts; empty when there are many of them. */
  get entryPeers (): string[] {
    return this.#lease.entryPeers(performance.now()).filter(peer => peer !== this.settings.address)
  }

  /** Whether the view in force is currently known to be the newest accepted one. */
  isFresh (): boolean {
    return this.#lease.isFresh(this.viewRevision, performance.now())
  }

  /**
   * Whether a majority has confirmed a view since this process started. Before that the view may be older than one that this
   * host has acted on in an earlier process, since a control host that restarts first shows what its last snapshot holds.
   */
  get wasConfirmed (): boolean { return this.#wasConfirmed }

  /** How far the view in force is behind the newest one that is known, and when it was last confirmed. */
  viewLag (): ViewLagReport {
    return this.#viewLag.report(this.viewRevision, this.#lease.confirmedAt(this.viewRevision), performance.now())
  }

  /** Whether a first view has arrived and is fresh. */
  isReady (): boolean {
    return this.viewRevision > 0 && this.isFresh()
  }

  /** @param listener - called after each change of the view or the endpoint list */
  onChange (listener: () => void): void {
    this.#changeListeners.push(listener)
  }

  /** @param listener - called when the known leader changes or becomes unknown */
  onLeaderChange (listener: () => void): void {
    this.#leaderListeners.push(listener)
  }

  /**
   * Follows the contents of the stores through a separate watch.
   *
   * @param listener - receives the changes
   */
  followStoredParts (listener: StoredPartsListener): StoredPartsFollower {
    const follower = new StoredPartsFollower(this.rpc, () => this.#watchCandidates(), listener)
    this.#storedPartsFollowers.push(follower)
    void follower.run(this.#abort.signal)
    return follower
  }

  /** Starts the status reports and the watches. */
  start (): void {
    this.#statusReporter.start()
    void this.#runWatch()
    if (this.settings.watchesEndpoints === true) void this.#endpoints.run(this.#abort.signal)
  }

  /** Reports to the control hosts that this host accepts no new work. */
  stopAccepting (): void {
    this.#accepting = false
    this.#statusReporter.reportToAll()
  }

  /** Stops the status reports and the watches. */
  stop (): void {
    this.#abort.abort()
    this.#statusReporter.stop()
  }

  /**
   * Proposes a command and waits for its result.
   *
   * @param command - command to apply
   * @param deadlineMs - how long to retry, in milliseconds
   * @returns the result, or whether the command may still be applied
   */
  async propose (command: Command, deadlineMs: number): Promise<Result<CommandResult, ProposeError>> {
    const deadline = performance.now() + deadlineMs
    let mayBeApplied = false
    for (let attempt = 0; performance.now() < deadline; attempt += 1) {
      const address = this.#leaderHint ?? this.#controlAddressAt(attempt)
      if (address === undefined) {
        await sleep(PROPOSE_RETRY_DELAY_MS)
        continue
      }
      const remaining = Math.min(PROPOSE_ATTEMPT_TIMEOUT_MS, deadline - performance.now())
      const response = await this.rpc.call(address, propose, { command }, remaining, { isRepeatable: true })
      if (response.ok && response.value.kind === 'applied') {
        this.#leaderHint = address
        return succeed(response.value.result)
      }
      // A connection that broke after the command was sent looks like one that was never established, so only `not-leader` proves that the command was not appended.
      mayBeApplied ||= !(response.ok && response.value.kind === 'not-leader')
      const hintedLeader = response.ok && response.value.kind === 'not-leader' ? response.value.leader : ''
      this.#leaderHint = hintedLeader === '' || hintedLeader === address ? undefined : hintedLeader
      await sleep(PROPOSE_RETRY_DELAY_MS)
    }
    return fail({ kind: mayBeApplied ? 'uncertain' : 'not-proposed' })
  }

  #controlAddresses (): string[] {
    const voterAddresses = this.#lease.membership.voters.map(voter => voter.address)
    return voterAddresses.length > 0 ? voterAddresses : [...this.settings.controlAddresses]
  }

  #controlAddressAt (attempt: number): string | undefined {
    const addresses = this.#controlAddresses()
    return addresses[attempt % addresses.length]
  }

  /** Whether the watched control host may be isolated or lagging, so that another one should be watched. */
  #isWatchStuck (): boolean {
    const isBehind = this.#newerView !== undefined && this.#newerView.view > this.viewRevision && performance.now() - this.#newerView.statedAt > VIEW_DELIVERY_TIMEOUT_MS
    if (this.viewRevision > 0) return isBehind || !this.isFresh()
    return isBehind && this.#newerView?.address !== this.#watchedAddress
  }

  #report (): StatusRequest {
    const { host, role, address, dataCentre, wantsPeers = false } = this.settings
    const { membershipIndex } = this.#lease
    const loadFeatures = this.settings.loadFeatures?.()
    return { host, role, address, dataCentre, viewRevision: this.viewRevision, accepting: this.#accepting, membershipIndex, wantsPeers, ...(loadFeatures === undefined ? {} : { loadFeatures }) }
  }

  #onStatement (address: string, statement: StatusResponse, askedAt: number): void {
    const { membership, membershipIndex, appliedView, leader, watched } = statement
    const unchangedMembership = membershipIndex === this.#lease.membershipIndex ? this.#lease.membership : undefined
    const knownMembership = membership ?? unchangedMembership
    // The response omits the membership because this host knew it at request time, but a newer one has arrived since. The next response will include one.
    if (knownMembership === undefined) return
    this.#lease.observe({ ...statement, membership: knownMembership, askedAt })
    this.#noteConfirmation()
    this.#viewLag.observeStatement(address, appliedView, this.viewRevision, performance.now())
    if (appliedView > this.viewRevision && appliedView > (this.#newerView?.view ?? 0)) this.#newerView = { address, view: appliedView, statedAt: performance.now() }
    if (appliedView > this.viewRevision && address === this.#watchedAddress) this.rpc.expectMessage(address)
    if (leader !== '') this.#setLeader(leader)
    this.#endpoints.confirm(address, watched, askedAt)
    for (const follower of this.#storedPartsFollowers) follower.confirm(address, watched, askedAt)
  }

  /** Prefers a control host with a newer view, then the leader, so that few control hosts need to read the endpoint list; otherwise takes them in turn. */
  #watchAddress (): string | undefined {
    const preferred = this.#newerView?.address ?? (this.#watchFailures === 0 ? this.#leader : undefined)
    return preferred ?? this.#controlAddressAt(this.#watchAttempt)
  }

  #watchCandidates (): string[] {
    const addresses = this.#controlAddresses()
    return this.#leader === undefined ? addresses : [this.#leader, ...addresses.filter(address => address !== this.#leader)]
  }

  #setLeader (leader: string | undefined): void {
    if (leader === this.#leader) return
    this.#leader = leader
    for (const listener of this.#leaderListeners) listener()
  }

  #noteConfirmation (): void {
    if (this.#wasConfirmed || !this.isReady()) return
    this.#wasConfirmed = true
    this.#notifyChangeListeners()
  }

  /** Logs once that this host is behind, with what it watches, and once that it has caught up. */
  #logLag (): void {
    const { viewsBehind, behindMs, statedBy, newestView, confirmedMs } = this.viewLag()
    if (viewsBehind > 0 && behindMs >= LOGGED_LAG_MS && !this.#isLagLogged) {
      this.#isLagLogged = true
      this.settings.telemetry?.logStateChange('view-behind', {
        view: this.viewRevision, newestView, behindMs: Math.round(behindMs), statedBy, watched: this.#watchedAddress, watchMs: Math.round(performance.now() - this.#watchStartedAt), ...(Number.isFinite(confirmedMs) ? { confirmedMs: Math.round(confirmedMs) } : {})
      })
    } else if (viewsBehind === 0 && this.#isLagLogged) {
      this.#isLagLogged = false
      this.settings.telemetry?.logStateChange('view-caught-up', { view: this.viewRevision, watched: this.#watchedAddress, watchMs: Math.round(performance.now() - this.#watchStartedAt) })
    }
  }

  #notifyChangeListeners (): void {
    for (const listener of this.#changeListeners) listener()
  }

  async #runWatch (): Promise<void> {
    let silentAt: string | undefined
    while (!this.#abort.signal.aborted) {
      // After a silent watch only the connection was at fault, and there is a new one.
      const address = silentAt ?? this.#watchAddress()
      if (address === undefined) {
        await sleep(WATCH_RETRY_DELAY_MS)
        continue
      }
      const isResponseDue = this.#newerView?.address === address
      this.#watchedAddress = address
      this.#watchStartedAt = performance.now()
      this.#newerView = undefined
      this.#watchAttempt += 1
      this.#watchRestart = new AbortController()
      const restart = this.#watchRestart
      const signal = AbortSignal.any([restart.signal, this.#abort.signal])
      const error = await this.rpc.stream(address, watchView, { viewRevision: this.viewRevision }, message => {
        const outcome = this.#follower.apply(message, performance.now())
        if (outcome === 'gap') restart.abort()
        if (outcome !== 'advanced') return
        this.#viewLag.observeView(this.viewRevision)
        this.#logLag()
        this.#noteConfirmation()
        this.#notifyChangeListeners()
        // Report the new view at once for callers that wait until it is in force on all hosts.
        this.#statusReporter.reportToAll()
      }, signal, { isResponseDue })
      silentAt = error?.kind === 'silent' ? address : undefined
      if (silentAt !== undefined) continue
      // After a failed watch another host is tried, even if the failed one is the known leader.
      this.#watchFailures = this.#watchFailures === 0 ? 1 : 0
      await sleep(WATCH_RETRY_DELAY_MS)
    }
  }
}
