/**
 * A host's link to the control hosts: follows the view, keeps its freshness and
 * proposes commands.
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
import { EndpointListFollower } from './EndpointListFollower.js'
import { FreshnessLease } from './FreshnessLease.js'
import { StatusReports } from './StatusReports.js'
import { StoredPartsFollower, type StoredPartsListener } from './StoredPartsFollower.js'
import { ViewFollower } from './ViewFollower.js'

/** Who this host is, and where the control hosts are. */
export interface ControlLinkSettings {
  readonly host: string
  readonly role: HostRole
  readonly address: string
  readonly dataCentre: string
  /** Control hosts known at start; others are learnt. */
  readonly controlAddresses: readonly string[]
  /** How long a confirmed view may be acted on, in milliseconds. */
  readonly freshnessMs: number
  /** Whether this host needs the platform's endpoint list. */
  readonly watchesEndpoints?: boolean
  /** Whether this host tells other entry hosts of its dispatches. */
  readonly wantsPeers?: boolean
}

/** Why a command has no result. */
export type ProposeError =
  /** No control host appended it: it will never be applied. */
  | { readonly kind: 'not-proposed' }
  /** It may be applied now, later or never. */
  | { readonly kind: 'uncertain' }

/** Pause before a broken watch is opened again, in milliseconds. */
const WATCH_RETRY_MS = 100

/** Time for which a view that some control host has applied may still be on its way through the watch, in milliseconds. */
const ON_ITS_WAY_MS = 100

/** Pause before another control host is asked to take a command, in milliseconds. */
const PROPOSE_RETRY_MS = 50

/** Deadline of one attempt to propose, in milliseconds. */
const PROPOSE_ATTEMPT_MS = 2000

/** Follows the control hosts until stopped. */
export class ControlLink {
  readonly #follower = new ViewFollower()
  readonly #lease: FreshnessLease
  readonly #abort = new AbortController()
  #accepting = true
  #leaderHint: string | undefined
  #watchTurn = 0
  #watchRestart = new AbortController()
  #listeners: Array<() => void> = []
  readonly #leaderListeners: Array<() => void> = []
  readonly #endpoints: EndpointListFollower
  /** Control host that stated that it has applied a newer view than this host. */
  #newer: { readonly address: string, readonly view: number, readonly statedAt: number } | undefined
  #leader: string | undefined
  #watchFailures = 0
  #watched = ''
  #lagMs = Number.POSITIVE_INFINITY
  readonly #reports: StatusReports
  readonly #storesFollowed: StoredPartsFollower[] = []

  /**
   * @param settings - who this host is
   * @param rpc - client for calls to the control hosts
   * @param datagrams - client for questions to them
   */
  constructor (private readonly settings: ControlLinkSettings, private readonly rpc: RpcClient, datagrams: DatagramClient) {
    this.#lease = new FreshnessLease(settings.freshnessMs)
    this.#reports = new StatusReports(datagrams, {
      addresses: () => [...this.#addresses(), ...settings.controlAddresses],
      isWatched: address => address === this.#leader || address === this.#watched || this.#endpoints.isWatching(address),
      report: () => this.#report(),
      isHurried: () => this.viewRevision === 0 || this.#leader === undefined,
      onStatement: (address, statement, askedAt) => { this.#takeStatement(address, statement, askedAt) },
      onSilence: address => { if (this.#leader === address) this.#setLeader(undefined) },
      onLook: lateMs => {
        this.#lagMs = lateMs
        if (this.#isWatchStuck()) this.#watchRestart.abort()
      }
    })
    this.#endpoints = new EndpointListFollower(rpc, () => this.#watchOrder(), () => { this.#notify() })
  }

  /** Configuration in force on this host. */
  get configuration (): ConfigurationIndex { return this.#follower.configuration }
  get shards (): readonly Shard[] { return this.#follower.shards }
  get viewRevision (): number { return this.#follower.viewRevision }
  /** Address of the control hosts' leader, as far as this host knows. */
  get leader (): string | undefined { return this.#leader }
  /** Site in force on this host, once it knows one. */
  get site (): Site | undefined { return this.#follower.site }
  /** Weight version that each model should run. */
  get weights (): readonly DesiredWeights[] { return this.#follower.weights }
  /** Data centres whose endpoints get no new work. */
  get evacuated (): ReadonlySet<string> { return this.#follower.evacuated }
  /** Requests that are not sent to endpoints. */
  get quarantine (): QuarantineTable { return this.#follower.quarantine }
  /** Endpoints as the platform lists them. */
  get endpoints (): readonly ListedEndpoint[] { return this.#endpoints.endpoints }

  /**
   * @param now - monotonic milliseconds
   * @returns milliseconds since the platform stated the endpoint list; infinite before it ever did
   */
  endpointListAgeMs (now: number): number {
    return this.#endpoints.ageMs(now)
  }

  /**
   * How late this host came to its last report, in milliseconds: for so long the process did not get
   * to its sockets. Infinite before the first: connections have waited while it was loaded.
   */
  get eventLoopLagMs (): number { return this.#lagMs }
  /** Entry hosts that may be alive. */
  get liveEntries (): number { return this.#lease.liveEntries(performance.now()) }

  /** Peer addresses of the other entry hosts; empty when they are many. */
  get entryPeers (): string[] {
    return this.#lease.entryPeers(performance.now()).filter(peer => peer !== this.settings.address)
  }

  /** Whether the view in force is known to be the newest accepted one, as of now. */
  isFresh (): boolean {
    return this.#lease.isFresh(this.viewRevision, performance.now())
  }

  /** Whether a first view has arrived and is fresh. */
  isReady (): boolean {
    return this.viewRevision > 0 && this.isFresh()
  }

  /** @param listener - called after each change of the view */
  onChange (listener: () => void): void {
    this.#listeners.push(listener)
  }

  /** @param listener - called when another control host leads, or none is known to */
  onLeaderChange (listener: () => void): void {
    this.#leaderListeners.push(listener)
  }

  /**
   * Follows what stores hold, through a watch of its own.
   *
   * @param listener - told of changes
   */
  followStoredParts (listener: StoredPartsListener): StoredPartsFollower {
    const follower = new StoredPartsFollower(this.rpc, () => this.#watchOrder(), listener)
    this.#storesFollowed.push(follower)
    void follower.run(this.#abort.signal)
    return follower
  }

  /** Starts to follow. */
  start (): void {
    this.#reports.start()
    void this.#watchLoop()
    if (this.settings.watchesEndpoints === true) void this.#endpoints.run(this.#abort.signal)
  }

  /** Tells the control hosts that this host takes no new work. */
  stopAccepting (): void {
    this.#accepting = false
    this.#reports.askAll()
  }

  /** Stops following. */
  stop (): void {
    this.#abort.abort()
    this.#reports.stop()
  }

  /**
   * Proposes a command and waits for its result.
   *
   * @param command - what to apply
   * @param deadlineMs - how long to try, in milliseconds
   * @returns the result, or whether it may still be applied
   */
  async propose (command: Command, deadlineMs: number): Promise<Result<CommandResult, ProposeError>> {
    const deadline = performance.now() + deadlineMs
    let mayApply = false
    for (let turn = 0; performance.now() < deadline; turn += 1) {
      const address = this.#leaderHint ?? this.#controlAddress(turn)
      const remaining = Math.min(PROPOSE_ATTEMPT_MS, deadline - performance.now())
      const answer = await this.rpc.call(address, propose, { command }, remaining)
      if (answer.ok && answer.value.kind === 'applied') {
        this.#leaderHint = address
        return succeed(answer.value.result)
      }
      // A connection that broke after sending looks like one that was never made: only a clear answer counts.
      mayApply ||= !(answer.ok && answer.value.kind === 'not-leader')
      const hinted = answer.ok && answer.value.kind === 'not-leader' ? answer.value.leader : ''
      this.#leaderHint = hinted === '' || hinted === address ? undefined : hinted
      await sleep(PROPOSE_RETRY_MS)
    }
    return fail({ kind: mayApply ? 'uncertain' : 'not-proposed' })
  }

  #addresses (): string[] {
    const learnt = this.#lease.membership.voters.map(voter => voter.address)
    return learnt.length > 0 ? learnt : [...this.settings.controlAddresses]
  }

  #controlAddress (turn: number): string {
    const addresses = this.#addresses()
    return addresses[turn % addresses.length] ?? ''
  }

  /** The watched control host may be cut off from the others, or not have caught up: another one knows more. */
  #isWatchStuck (): boolean {
    const isBehind = this.#newer !== undefined && this.#newer.view > this.viewRevision && performance.now() - this.#newer.statedAt > ON_ITS_WAY_MS
    if (this.viewRevision > 0) return isBehind || !this.isFresh()
    return isBehind && this.#newer?.address !== this.#watched
  }

  #report (): StatusRequest {
    const { host, role, address, dataCentre, wantsPeers = false } = this.settings
    const { membershipIndex } = this.#lease
    return { host, role, address, dataCentre, viewRevision: this.viewRevision, accepting: this.#accepting, membershipIndex, wantsPeers }
  }

  #takeStatement (address: string, statement: StatusResponse, askedAt: number): void {
    const { membership, membershipIndex, appliedView, leader, watched } = statement
    const known = membershipIndex === this.#lease.membershipIndex ? this.#lease.membership : undefined
    const stated = membership ?? known
    // It left out a membership that was known when it was asked, and has been overtaken since: the next answer has one.
    if (stated === undefined) return
    this.#lease.observe({ ...statement, membership: stated, askedAt })
    if (appliedView > this.viewRevision && appliedView > (this.#newer?.view ?? 0)) this.#newer = { address, view: appliedView, statedAt: performance.now() }
    if (leader !== '') this.#setLeader(leader)
    this.#endpoints.confirm(address, watched, askedAt)
    for (const follower of this.#storesFollowed) follower.confirm(address, watched, askedAt)
  }

  /** The host that has what we miss, or the leader, so that few control hosts need to read the list; else any by turns. */
  #watchAddress (): string {
    const preferred = this.#newer?.address ?? (this.#watchFailures === 0 ? this.#leader : undefined)
    return preferred ?? this.#controlAddress(this.#watchTurn)
  }

  #watchOrder (): string[] {
    const addresses = this.#addresses()
    return this.#leader === undefined ? addresses : [this.#leader, ...addresses.filter(address => address !== this.#leader)]
  }

  #setLeader (leader: string | undefined): void {
    if (leader === this.#leader) return
    this.#leader = leader
    for (const listener of this.#leaderListeners) listener()
  }

  #notify (): void {
    for (const listener of this.#listeners) listener()
  }

  async #watchLoop (): Promise<void> {
    while (!this.#abort.signal.aborted) {
      const address = this.#watchAddress()
      this.#watched = address
      this.#newer = undefined
      this.#watchTurn += 1
      this.#watchRestart = new AbortController()
      const restart = this.#watchRestart
      const signal = AbortSignal.any([restart.signal, this.#abort.signal])
      await this.rpc.stream(address, watchView, { viewRevision: this.viewRevision }, message => {
        const outcome = this.#follower.apply(message, performance.now())
        if (outcome === 'gap') restart.abort()
        if (outcome !== 'advanced') return
        this.#notify()
        // Report the new view at once, so that those who wait for it to be in force hear of it.
        this.#reports.askAll()
      }, signal)
      // After a failed watch the next host is tried, also if the failed one is the leader we know.
      this.#watchFailures = this.#watchFailures === 0 ? 1 : 0
      await sleep(WATCH_RETRY_MS)
    }
  }
}
