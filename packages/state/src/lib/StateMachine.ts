/** Deterministic state machine driven by the replicated log: configuration, shard owners, at-most-once records, site, quarantine and evacuations. */
import { assertInvariant, unreachable } from '@eelgrassmux/schema/invariant'
import { checkReferences } from '@eelgrassmux/schema/checkReferences'
import type { Configuration, ConfigurationDocument } from '@eelgrassmux/schema/configuration'
import type {
  ChangeCommand, ClaimCommand, ClaimResult, CommandResult, AtMostOnceRecord, DocumentName, RecordKey, Shard, StampedCommand,
  StateImage, StoredResponse
} from './commands.js'
import { EvacuationRegistry } from './EvacuationRegistry.js'
import { SiteRegistry } from './SiteRegistry.js'
import { QuarantineRegistry } from './QuarantineRegistry.js'

/** Settings that must be the same on all control hosts. */
export interface StateSettings {
  /** How long an at-most-once record is kept after its claim, in milliseconds. */
  readonly recordWindowMs: number
  /** Number of operator requests whose results are kept, to recognise a resent request. */
  readonly maxRememberedRequests: number
}

export const DEFAULT_STATE_SETTINGS: StateSettings = {
  recordWindowMs: 24 * 60 * 60 * 1000, maxRememberedRequests: 10_000
}

/** One step of the view: the changes of the configuration, site and quarantine. Shard owners are always sent completely. */
export interface ViewChange {
  readonly viewRevision: number
  readonly upserts: readonly ConfigurationDocument[]
  readonly removes: readonly DocumentName[]
  /** Whether this step replaced the site. */
  readonly replacesSite: boolean
  /** Fingerprints of the requests whose quarantine entry changed in this step. */
  readonly quarantineChanged: readonly string[]
}

/** Defaults for the fields that a step does not change. */
const NO_CHANGE: Omit<ViewChange, 'viewRevision'> = { upserts: [], removes: [], replacesSite: false, quarantineChanged: [] }

/** Number of view changes kept for watchers that lag slightly; others receive a full snapshot. */
const MAX_RECENT_CHANGES = 512

/** Applies committed commands; the same log always results in the same state. */
export class StateMachine {
  #clock = 0
  #revision = 0
  #viewRevision = 0
  #documents = new Map<string, ConfigurationDocument>()
  #recentChanges: ViewChange[] = []
  #shards: Shard[] = []
  #requests = new Map<string, CommandResult>()
  #records = new Map<string, AtMostOnceRecord>()
  /** Release times by claim id. A duplicate of a released claim that is applied later must not create a record that nobody completes. */
  #releasedClaims = new Map<string, number>()

  /** Site, desired weights and the control host that may send orders. */
  readonly sites = new SiteRegistry()
  /** Requests that are not sent to endpoints. */
  readonly quarantine = new QuarantineRegistry()
  /** Data centres whose endpoints receive no new requests. */
  readonly evacuations = new EvacuationRegistry()

  /** @param settings - must be the same on all control hosts */
  constructor (private readonly settings: StateSettings = DEFAULT_STATE_SETTINGS) {}

  /** Revision of the accepted configuration. */
  get revision (): number { return this.#revision }
  /** Increases with each change that hosts must learn of, such as a new configuration, site or shard assignment. */
  get viewRevision (): number { return this.#viewRevision }
  get configuration (): Configuration { return { documents: [...this.#documents.values()] } }
  get shards (): readonly Shard[] { return this.#shards }
  get recordCount (): number { return this.#records.size }

  /**
   * @param kind - document kind
   * @param name - document name
   * @returns whether the accepted configuration contains this document
   */
  hasDocument (kind: string, name: string): boolean {
    return this.#documents.has(documentId({ kind, name }))
  }

  /**
   * Applies one committed command.
   *
   * @param stamped - command with the leader's timestamp
   * @returns the result for the proposer
   */
  apply (stamped: StampedCommand): CommandResult {
    this.#clock = Math.max(this.#clock, stamped.stampedAt)
    const { command } = stamped
    switch (command.kind) {
      case 'change-configuration': return this.#changeConfiguration(command)
      case 'assign-shards': return this.#assignShards(command.owners)
      case 'claim': return { kind: 'claim', result: this.#claim(command) }
      case 'complete': return this.#complete(command.record, command.claimId, command.answer)
      case 'release': return this.#release(command.record, command.claimId)
      case 'expire': return this.#expire()
      case 'put-site': return this.#recordIfChanged(this.sites.putSite(command), true)
      case 'name-weights': return this.#recordIfChanged(this.sites.nameWeights(command), false)
      case 'claim-orders': return this.sites.claimOrders(command.holder)
      case 'change-quarantine': return this.#recordQuarantineChange(this.quarantine.apply(command.decisions, this.#clock))
      case 'expire-quarantine': return this.#recordQuarantineChange(this.quarantine.expire(this.#clock))
      case 'order-evacuation': return this.#recordIfChanged(this.evacuations.apply(command, this.#clock), false)
      default: return unreachable(command)
    }
  }

  /**
   * Returns the changes that bring a watcher up to date.
   *
   * @param knownViewRevision - view revision that the watcher has
   * @returns the changes in order, or undefined if the watcher needs a full snapshot
   */
  changesSince (knownViewRevision: number): ViewChange[] | undefined {
    const oldest = this.#recentChanges[0]?.viewRevision ?? this.#viewRevision + 1
    if (knownViewRevision < oldest - 1 || knownViewRevision > this.#viewRevision) return undefined
    return this.#recentChanges.filter(change => change.viewRevision > knownViewRevision)
  }

  /** @returns a complete image for a snapshot */
  image (): StateImage {
    return {
      clock: this.#clock,
      revision: this.#revision,
      viewRevision: this.#viewRevision,
      documents: [...this.#documents.values()],
      shards: [...this.#shards],
      requests: [...this.#requests].map(([requestId, result]) => ({ requestId, result })),
      records: [...this.#records.values()],
      releasedClaims: [...this.#releasedClaims].map(([claimId, releasedAt]) => ({ claimId, releasedAt })),
      site: this.sites.image(),
      quarantine: [...this.quarantine.all],
      evacuations: this.evacuations.image()
    }
  }

  /** @param image - state from a snapshot; replaces the current state */
  restore (image: StateImage): void {
    assertInvariant(image.viewRevision >= this.#viewRevision, 'configuration-never-reverts',
      () => `snapshot with view revision ${image.viewRevision} is older than the current view revision ${this.#viewRevision}`)
    this.#clock = image.clock
    this.#revision = image.revision
    this.#viewRevision = image.viewRevision
    this.#documents = new Map(image.documents.map(document => [documentId(document), document]))
    this.#recentChanges = []
    this.#shards = [...image.shards]
    this.#requests = new Map(image.requests.map(({ requestId, result }) => [requestId, result]))
    this.#records = new Map(image.records.map(record => [recordId(record.key), record]))
    this.sites.restore(image.site)
    this.quarantine.restore(image.quarantine)
    this.evacuations.restore(image.evacuations)
    this.#releasedClaims = new Map(image.releasedClaims.map(({ claimId, releasedAt }) => [claimId, releasedAt]))
  }

  #changeConfiguration (command: ChangeCommand): CommandResult {
    // A resent request gets its first result, even if the revision has changed since.
    const earlier = this.#requests.get(command.requestId)
    if (earlier !== undefined) return earlier
    const result = this.#decideChange(command)
    this.#requests.set(command.requestId, result)
    const oldest = this.#requests.keys().next()
    if (this.#requests.size > this.settings.maxRememberedRequests && oldest.done !== true) this.#requests.delete(oldest.value)
    return result
  }

  #decideChange (command: ChangeCommand): CommandResult {
    const expected = command.expectedRevision
    if (expected !== undefined && expected !== this.#revision) return { kind: 'revision-conflict', revision: this.#revision }
    const next = new Map(this.#documents)
    for (const name of command.removes) next.delete(documentId(name))
    for (const document of command.upserts) next.set(documentId(document), document)
    const documents = [...next.values()]
    const problem = checkReferences({ documents })[0]
    if (problem !== undefined) {
      const invalidDocument = documents[problem.documentIndex]
      return { kind: 'invalid', message: `${invalidDocument?.kind}/${invalidDocument?.name} ${problem.field}: ${problem.message}` }
    }
    this.#documents = next
    this.#revision += 1
    this.#recordChange({ upserts: command.upserts, removes: command.removes })
    return { kind: 'accepted', revision: this.#revision }
  }

  /** Increases the view revision and keeps the change for watchers that lag slightly. */
  #recordChange (change: Partial<Omit<ViewChange, 'viewRevision'>>): void {
    this.#viewRevision += 1
    this.#recentChanges.push({ ...NO_CHANGE, ...change, viewRevision: this.#viewRevision })
    if (this.#recentChanges.length > MAX_RECENT_CHANGES) this.#recentChanges.shift()
  }

  #recordIfChanged (outcome: { result: CommandResult, hasChanged: boolean }, replacesSite: boolean): CommandResult {
    if (outcome.hasChanged) this.#recordChange({ replacesSite })
    return outcome.result
  }

  #recordQuarantineChange (quarantineChanged: readonly string[]): CommandResult {
    if (quarantineChanged.length > 0) this.#recordChange({ quarantineChanged })
    return { kind: 'done' }
  }

  #assignShards (owners: readonly string[]): CommandResult {
    this.#recordChange({})
    this.#shards = owners.map((owner, shard) => {
      const current = this.#shards[shard]
      if (current?.owner === owner) return current
      return { owner, epoch: this.#viewRevision }
    })
    return { kind: 'done' }
  }

  #claim (command: ClaimCommand): ClaimResult {
    if (this.#releasedClaims.has(command.claimId)) return { kind: 'released' }
    const id = recordId(command.record)
    const existing = this.#records.get(id)
    if (existing === undefined) {
      this.#records.set(id, {
        key: command.record,
        bodySha256: command.bodySha256,
        claimId: command.claimId,
        deadlineAt: command.deadlineAt,
        claimedAt: this.#clock
      })
      return { kind: 'claimed' }
    }
    if (existing.bodySha256 !== command.bodySha256) return { kind: 'body-differs' }
    if (existing.answer !== undefined) return { kind: 'answered', answer: existing.answer }
    // A proposer that resends its command after a lost response keeps its claim.
    if (existing.claimId === command.claimId) return { kind: 'claimed' }
    if (this.#clock > existing.deadlineAt) return { kind: 'outcome-unknown' }
    return { kind: 'in-progress', deadlineAt: existing.deadlineAt }
  }

  #complete (key: RecordKey, claimId: string, answer: StoredResponse): CommandResult {
    const record = this.#records.get(recordId(key))
    if (record?.claimId !== claimId) return { kind: 'no-such-claim' }
    if (record.answer === undefined) this.#records.set(recordId(key), { ...record, answer })
    return { kind: 'done' }
  }

  #release (key: RecordKey, claimId: string): CommandResult {
    const record = this.#records.get(recordId(key))
    if (record?.claimId === claimId && record.answer !== undefined) return { kind: 'no-such-claim' }
    this.#releasedClaims.set(claimId, this.#clock)
    if (record?.claimId === claimId) this.#records.delete(recordId(key))
    return { kind: 'done' }
  }

  #expire (): CommandResult {
    for (const [id, record] of this.#records) {
      if (record.claimedAt + this.settings.recordWindowMs < this.#clock) this.#records.delete(id)
    }
    for (const [claimId, releasedAt] of this.#releasedClaims) {
      if (releasedAt + this.settings.recordWindowMs < this.#clock) this.#releasedClaims.delete(claimId)
    }
    return { kind: 'done' }
  }
}

/** Returns an unambiguous map key; JSON keeps the parts apart. */
function recordId (key: RecordKey): string {
  return JSON.stringify([key.customer, key.service, key.idempotencyKey])
}

function documentId (document: DocumentName): string {
  return `${document.kind}/${document.name}`
}
