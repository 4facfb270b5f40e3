/** The deterministic state that the agreed log drives: configuration, shard owners and at-most-once records. */
import { assertInvariant, unreachable } from '@eelgrassmux/schema/invariant'
import { checkReferences } from '@eelgrassmux/schema/checkReferences'
import type { Configuration, ConfigurationDocument } from '@eelgrassmux/schema/configuration'
import type {
  ChangeCommand, ClaimCommand, ClaimResult, CommandResult, ConfirmationRecord, DocumentName, RecordKey, Shard, StampedCommand,
  StateImage, StoredAnswer
} from './commands.js'
import { EvacuationRegister } from './EvacuationRegister.js'
import { SiteRegister } from './SiteRegister.js'
import { QuarantineRegistry } from './QuarantineRegistry.js'

/** Settings that every control host must share. */
export interface StateSettings {
  /** How long an at-most-once record is kept after its claim, in milliseconds. */
  readonly recordWindowMs: number
  /** How many operators' requests are remembered to recognise a resend. */
  readonly rememberedRequests: number
}

export const DEFAULT_STATE_SETTINGS: StateSettings = {
  recordWindowMs: 24 * 60 * 60 * 1000, rememberedRequests: 10_000
}

/** One step of the view: what changed in the configuration; shard owners are sent whole. */
export interface ViewChange {
  readonly viewRevision: number
  readonly upserts: readonly ConfigurationDocument[]
  readonly removes: readonly DocumentName[]
  /** Whether the site was replaced in this step. */
  readonly replacesSite: boolean
  /** Fingerprints of requests whose quarantine changed in this step. */
  readonly quarantineChanged: readonly string[]
}

/** A step that changes nothing of what is not named. */
const NO_CHANGE: Omit<ViewChange, 'viewRevision'> = { upserts: [], removes: [], replacesSite: false, quarantineChanged: [] }

/** Changes kept for watchers that are only a little behind. */
const REMEMBERED_CHANGES = 512

/** Applies committed commands; equal logs give equal states. */
export class StateMachine {
  #clock = 0
  #revision = 0
  #viewRevision = 0
  #documents = new Map<string, ConfigurationDocument>()
  #recentChanges: ViewChange[] = []
  #shards: Shard[] = []
  #requests = new Map<string, CommandResult>()
  #records = new Map<string, ConfirmationRecord>()
  /** Claims released before they were applied: a late duplicate must not leave a claim without an owner. */
  #releasedClaims = new Map<string, number>()

  /** Site, named weights and the holder of the right to give orders. */
  readonly sites = new SiteRegister()
  /** Requests that are not sent to endpoints. */
  readonly quarantine = new QuarantineRegistry()
  /** Data centres whose endpoints get no new work. */
  readonly evacuations = new EvacuationRegister()

  /** @param settings - the same on all control hosts */
  constructor (private readonly settings: StateSettings = DEFAULT_STATE_SETTINGS) {}

  /** Revision of the accepted configuration. */
  get revision (): number { return this.#revision }
  /** Rises with each change that hosts must take note of: configuration or shard owners. */
  get viewRevision (): number { return this.#viewRevision }
  get configuration (): Configuration { return { documents: [...this.#documents.values()] } }
  get shards (): readonly Shard[] { return this.#shards }
  get recordCount (): number { return this.#records.size }

  /**
   * @param kind - document kind
   * @param name - document name
   * @returns whether the accepted configuration has such a document
   */
  hasDocument (kind: string, name: string): boolean {
    return this.#documents.has(documentId({ kind, name }))
  }

  /**
   * Applies one committed command.
   *
   * @param stamped - command and the leader's clock
   * @returns the answer for its proposer
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
      case 'put-site': return this.#recordOutcome(this.sites.putSite(command), true)
      case 'name-weights': return this.#recordOutcome(this.sites.nameWeights(command), false)
      case 'claim-orders': return this.sites.claimOrders(command.holder)
      case 'change-quarantine': return this.#recordQuarantine(this.quarantine.apply(command.decisions, this.#clock))
      case 'expire-quarantine': return this.#recordQuarantine(this.quarantine.expire(this.#clock))
      case 'order-evacuation': return this.#recordOutcome(this.evacuations.apply(command, this.#clock), false)
      default: return unreachable(command)
    }
  }

  /**
   * Lists the changes that bring a watcher up to date.
   *
   * @param knownViewRevision - what the watcher has
   * @returns the changes in order, or undefined if it needs everything
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

  /** @param image - replaces all state */
  restore (image: StateImage): void {
    assertInvariant(image.viewRevision >= this.#viewRevision, 'configuration-never-reverts',
      () => `snapshot at view ${image.viewRevision} after ${this.#viewRevision}`)
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
    // A resend gets the first answer, also when the revision has moved on since.
    const earlier = this.#requests.get(command.requestId)
    if (earlier !== undefined) return earlier
    const result = this.#decideChange(command)
    this.#requests.set(command.requestId, result)
    const oldest = this.#requests.keys().next()
    if (this.#requests.size > this.settings.rememberedRequests && oldest.done !== true) this.#requests.delete(oldest.value)
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
      const culprit = documents[problem.documentIndex]
      return { kind: 'invalid', message: `${culprit?.kind}/${culprit?.name} ${problem.field}: ${problem.message}` }
    }
    this.#documents = next
    this.#revision += 1
    this.#recordChange({ upserts: command.upserts, removes: command.removes })
    return { kind: 'accepted', revision: this.#revision }
  }

  /** Watchers that are close behind get these changes instead of everything. */
  #recordChange (change: Partial<Omit<ViewChange, 'viewRevision'>>): void {
    this.#viewRevision += 1
    this.#recentChanges.push({ ...NO_CHANGE, ...change, viewRevision: this.#viewRevision })
    if (this.#recentChanges.length > REMEMBERED_CHANGES) this.#recentChanges.shift()
  }

  #recordOutcome (outcome: { result: CommandResult, hasChanged: boolean }, replacesSite: boolean): CommandResult {
    if (outcome.hasChanged) this.#recordChange({ replacesSite })
    return outcome.result
  }

  #recordQuarantine (quarantineChanged: readonly string[]): CommandResult {
    if (quarantineChanged.length > 0) this.#recordChange({ quarantineChanged })
    return { kind: 'done' }
  }

  #assignShards (owners: readonly string[]): CommandResult {
    this.#recordChange({})
    this.#shards = owners.map((owner, shard) => {
      const present = this.#shards[shard]
      if (present?.owner === owner) return present
      return { owner, epoch: this.#viewRevision }
    })
    return { kind: 'done' }
  }

  #claim (command: ClaimCommand): ClaimResult {
    if (this.#releasedClaims.has(command.claimId)) return { kind: 'released' }
    const id = recordId(command.record)
    const present = this.#records.get(id)
    if (present === undefined) {
      this.#records.set(id, {
        key: command.record,
        bodySha256: command.bodySha256,
        claimId: command.claimId,
        deadlineAt: command.deadlineAt,
        claimedAt: this.#clock
      })
      return { kind: 'claimed' }
    }
    if (present.bodySha256 !== command.bodySha256) return { kind: 'body-differs' }
    if (present.answer !== undefined) return { kind: 'answered', answer: present.answer }
    // The proposer's own resend, after a lost answer, finds its claim again.
    if (present.claimId === command.claimId) return { kind: 'claimed' }
    if (this.#clock > present.deadlineAt) return { kind: 'outcome-unknown' }
    return { kind: 'in-progress', deadlineAt: present.deadlineAt }
  }

  #complete (key: RecordKey, claimId: string, answer: StoredAnswer): CommandResult {
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

/** Unambiguous map key: the parts can't run into each other. */
function recordId (key: RecordKey): string {
  return JSON.stringify([key.customer, key.service, key.idempotencyKey])
}

function documentId (document: DocumentName): string {
  return `${document.kind}/${document.name}`
}
