/**
 * A host's link to the control hosts: follows the view, keeps its freshness and
 * proposes commands.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import type { ConfigurationIndex } from '@eelgrassmux/schema/ConfigurationIndex'
import { fail, succeed, type Result } from '@eelgrassmux/schema/Result'
import { propose, reportStatus, watchView, type HostRole } from '@eelgrassmux/rpc/methods/controlMethods'
import type { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import type { Command, CommandResult, Shard } from '@eelgrassmux/state/commands'
import { FreshnessLease } from './FreshnessLease.js'
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
}

/** Why a command has no result. */
export type ProposeError =
  /** No control host appended it: it will never be applied. */
  | { readonly kind: 'not-proposed' }
  /** It may be applied now, later or never. */
  | { readonly kind: 'uncertain' }

/** Interval between status reports to each control host, in milliseconds. */
const REPORT_INTERVAL_MS = 500

/** Deadline of one status report, in milliseconds. */
const REPORT_DEADLINE_MS = 1000

/** Pause before a broken watch is opened again, in milliseconds. */
const WATCH_RETRY_MS = 100

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

  /**
   * @param settings - who this host is
   * @param rpc - client for calls to the control hosts
   */
  constructor (private readonly settings: ControlLinkSettings, private readonly rpc: RpcClient) {
    this.#lease = new FreshnessLease(settings.freshnessMs)
  }

  /** Configuration in force on this host. */
  get configuration (): ConfigurationIndex { return this.#follower.configuration }
  get shards (): readonly Shard[] { return this.#follower.shards }
  get viewRevision (): number { return this.#follower.viewRevision }

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

  /** Starts to follow. */
  start (): void {
    void this.#reportLoop()
    void this.#watchLoop()
  }

  /** Tells the control hosts that this host takes no new work. */
  stopAccepting (): void {
    this.#accepting = false
    void this.#reportAll()
  }

  /** Stops following. */
  stop (): void {
    this.#abort.abort()
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

  async #reportLoop (): Promise<void> {
    while (!this.#abort.signal.aborted) {
      // Not awaited: a silent control host must not delay the reports to the others.
      void this.#reportAll()
      await sleep(REPORT_INTERVAL_MS)
      // The watched control host may be cut off from the others: try the next one.
      if (this.viewRevision > 0 && !this.isFresh()) this.#watchRestart.abort()
    }
  }

  async #reportAll (): Promise<void> {
    const addresses = new Set([...this.#addresses(), ...this.settings.controlAddresses])
    await Promise.all([...addresses].map(async address => { await this.#report(address) }))
  }

  async #report (address: string): Promise<void> {
    const { host, role, dataCentre } = this.settings
    const askedAt = performance.now()
    const request = {
      host, role, address: this.settings.address, dataCentre, viewRevision: this.viewRevision, accepting: this.#accepting
    }
    const answer = await this.rpc.call(address, reportStatus, request, REPORT_DEADLINE_MS)
    if (answer.ok) this.#lease.observe({ ...answer.value, askedAt })
  }

  async #watchLoop (): Promise<void> {
    while (!this.#abort.signal.aborted) {
      const address = this.#controlAddress(this.#watchTurn)
      this.#watchTurn += 1
      this.#watchRestart = new AbortController()
      const restart = this.#watchRestart
      const signal = AbortSignal.any([restart.signal, this.#abort.signal])
      await this.rpc.stream(address, watchView, { viewRevision: this.viewRevision }, message => {
        const outcome = this.#follower.apply(message)
        if (outcome === 'gap') restart.abort()
        if (outcome !== 'advanced') return
        for (const listener of this.#listeners) listener()
        // Report the new view at once, so that those who wait for it to be in force hear of it.
        void this.#reportAll()
      }, signal)
      await sleep(WATCH_RETRY_MS)
    }
  }
}
