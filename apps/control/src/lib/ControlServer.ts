/** Serves the RPC methods of a control host to hosts, operators and other replicas. */
import { randomUUID } from 'node:crypto'
import { EventEmitter, once } from 'node:events'
import type { Replica } from '@eelgrassmux/consensus/messages/raftMessages'
import type { StoredPartsMessage } from '@eelgrassmux/schema/site/storedParts'
import {
  changeMembership as changeMembershipMethod, exchangeRaft, listHosts, listOrders, propose, readSite, reportStatus, sendRaftMessage, watchEndpoints, watchStoredParts, watchView,
  type EndpointListMessage, type RaftEnvelope, type StatusRequest, type StatusResponse, type ViewMessage
} from '@eelgrassmux/rpc/methods/controlMethods'
import type { DatagramServer } from '@eelgrassmux/rpc/datagrams/DatagramServer'
import type { ResponseStream, RpcServer } from '@eelgrassmux/rpc/RpcServer'
import type { EndpointListTask } from './endpoints/EndpointListTask.js'
import type { HostTable } from './hosts/HostTable.js'
import type { OrderTask } from './orders/OrderTask.js'
import { changeMembership } from './raft/changeMembership.js'
import type { RaftTask } from './raft/RaftTask.js'
import type { StoreTask } from './stores/StoreTask.js'
import type { SiteService } from './site/SiteService.js'
import { quarantineMessage } from './quarantine/quarantineMessage.js'

/** Services of a control host that depend on the site. */
export interface SiteServices {
  readonly service: SiteService
  /** Absent if the platform has no list of endpoints. */
  readonly endpoints?: EndpointListTask
  /** Absent if the platform has no stores. */
  readonly stores?: StoreTask
}

/** Answers calls from the current state of the replica. */
export class ControlServer {
  readonly #changes = new EventEmitter()
  readonly #startedAt = performance.now()
  /** Identifies this run of the process, so that watching hosts detect a restart. */
  readonly #incarnation = randomUUID()

  /**
   * @param raft - replica with the log and the state
   * @param hosts - hosts that report to this control host
   * @param orders - reconciliation of configured engines
   * @param sites - services that depend on the site
   * @param onReplicaSeen - called with the sender of each Raft message
   */
  constructor (
    private readonly raft: RaftTask,
    private readonly hosts: HostTable,
    private readonly orders: OrderTask,
    private readonly sites: SiteServices,
    private readonly onReplicaSeen: (replica: Replica) => void
  ) {
    this.#changes.setMaxListeners(0)
  }

  /** Wakes all watch streams. Call this after the state has changed. */
  notify (): void {
    this.#changes.emit('change')
  }

  /** @param server - RPC server on which to register all methods */
  register (server: RpcServer): void {
    server.handle(exchangeRaft, async envelope => {
      this.#receiveRaft(envelope)
      return {}
    })
    server.handle(propose, async ({ command }) => await this.raft.propose(command))
    server.handle(readSite, async () => await this.sites.service.readAsLeader())
    server.handle(listHosts, async () => {
      const { core, state } = this.raft
      const now = performance.now()
      return {
        replicaId: core.self.id,
        voters: core.committedMembership.voters,
        learners: core.committedMembership.learners,
        leader: core.leader?.id ?? '',
        term: core.term,
        commitIndex: core.commitIndex,
        viewRevision: state.viewRevision,
        revision: state.revision,
        uptimeMs: now - this.#startedAt,
        hosts: this.hosts.reports(now),
        evacuations: state.evacuations.image()
      }
    })
    server.handle(listOrders, async () => ({ orders: this.orders.reports() }))
    server.handle(changeMembershipMethod, async change => await changeMembership(this.raft, change))
    server.handleStream(watchView, async ({ viewRevision }, stream) => { await this.#watchView(viewRevision, stream) })
    server.handleStream(watchEndpoints, async (_request, stream) => { await this.#watchEndpoints(stream) })
    server.handleStream(watchStoredParts, async (_request, stream) => { await this.#watchStoredParts(stream) })
  }

  /** @param datagrams - datagram server on which to register the methods that hosts call periodically */
  registerDatagrams (datagrams: DatagramServer): void {
    datagrams.handle(reportStatus, report => this.#respondToReport(report))
    datagrams.handle(sendRaftMessage, envelope => {
      this.#receiveRaft(envelope)
      return undefined
    })
  }

  #receiveRaft ({ from, to, message }: RaftEnvelope): void {
    this.onReplicaSeen(from)
    // A message to another id at this address is meant for an earlier replica that has lost its disk.
    if (to === this.raft.core.self.id) this.raft.receive(message)
  }

  #respondToReport ({ membershipIndex: known, wantsPeers, ...status }: StatusRequest): StatusResponse {
    const now = performance.now()
    const { core, state } = this.raft
    const { endpoints, stores } = this.sites
    this.hosts.observe(status, now)
    return {
      replicaId: core.self.id,
      ...this.raft.reportMembership(known),
      newestView: this.raft.newestView,
      appliedView: state.viewRevision,
      leader: core.leader?.address ?? '',
      liveEntries: this.hosts.liveEntries(now),
      entryPeers: wantsPeers ? this.hosts.entryPeers(now) : [],
      watched: {
        incarnation: this.#incarnation,
        endpointList: endpoints?.version ?? 0,
        listAgeMs: endpoints?.readAgeMs(now) ?? -1,
        storedParts: stores?.version ?? 0,
        storeClockMs: stores?.clockMs
      }
    }
  }

  async #watchView (from: number, stream: ResponseStream<ViewMessage>): Promise<void> {
    let sent = from
    while (!stream.signal.aborted) {
      if (this.raft.state.viewRevision > sent) {
        const message = this.#viewSince(sent)
        sent = message.viewRevision
        await stream.send(message)
        continue
      }
      try {
        await once(this.#changes, 'change', { signal: stream.signal })
      } catch {
        return
      }
    }
  }

  async #watchEndpoints (stream: ResponseStream<EndpointListMessage>): Promise<void> {
    const { endpoints: list } = this.sites
    if (list === undefined) return
    list.addWatcher()
    try {
      let sent = 0
      while (!stream.signal.aborted) {
        const isNew = list.version > sent
        sent = list.version
        const message = { incarnation: this.#incarnation, version: sent, readAgeMs: list.readAgeMs(performance.now()) }
        await stream.send(isNew ? { ...message, endpoints: [...list.endpoints] } : message)
        if (list.version > sent) continue
        await nextChange(list.changes, stream.signal)
      }
    } finally {
      list.removeWatcher()
    }
  }

  async #watchStoredParts (stream: ResponseStream<StoredPartsMessage>): Promise<void> {
    const { stores } = this.sites
    if (stores === undefined) return
    const changes = new EventEmitter()
    const watcher = stores.addWatcher(() => { changes.emit('change') })
    try {
      while (!stream.signal.aborted) {
        await stream.send({ incarnation: this.#incarnation, ...stores.takePending(watcher) })
        if (watcher.pending.length === 0) await nextChange(changes, stream.signal)
      }
    } finally {
      stores.removeWatcher(watcher)
    }
  }

  #viewSince (known: number): ViewMessage {
    const { state } = this.raft
    const { viewRevision, revision } = state
    const shards = [...state.shards]
    const changes = known === 0 ? undefined : state.changesSince(known)
    const { weights, put } = state.sites
    const { evacuated } = state.evacuations
    const evacuation = evacuated.length === 0 ? {} : { evacuated }
    const site = put === undefined || changes?.some(change => change.replacesSite) === false ? {} : { site: put.site }
    if (changes === undefined) {
      return { kind: 'snapshot', viewRevision, revision, documents: [...state.configuration.documents], shards, weights, ...site, ...evacuation, ...quarantineMessage(state.quarantine, undefined, Date.now()) }
    }
    const upserts = new Map(changes.flatMap(change => change.upserts.map(document => [`${document.kind}/${document.name}`, document])))
    const removes = changes.flatMap(change => change.removes)
    const effectiveRemoves = this.#withoutRecreated(removes)
    for (const { kind, name } of effectiveRemoves) upserts.delete(`${kind}/${name}`)
    return { kind: 'changes', fromViewRevision: known, viewRevision, revision, upserts: [...upserts.values()], removes: effectiveRemoves, shards, weights, ...site, ...evacuation, ...quarantineMessage(state.quarantine, changes.flatMap(change => change.quarantineChanged), Date.now()) }
  }

  /** Drops documents that were removed and created again within the same changes. */
  #withoutRecreated<Name extends { readonly kind: string, readonly name: string }> (removes: readonly Name[]): Name[] {
    return removes.filter(({ kind, name }) => !this.raft.state.hasDocument(kind, name))
  }
}

/** Resolves at the next change or when the watch stream is aborted. */
async function nextChange (changes: EventEmitter, signal: AbortSignal): Promise<void> {
  await new Promise<void>(resolve => {
    function finish (): void {
      changes.off('change', finish)
      signal.removeEventListener('abort', finish)
      resolve()
    }
    changes.once('change', finish)
    signal.addEventListener('abort', finish, { once: true })
  })
}
