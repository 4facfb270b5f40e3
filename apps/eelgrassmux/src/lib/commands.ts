/** Commands of the operators' command line. */
import { randomUUID } from 'node:crypto'
import { readFile } from 'node:fs/promises'
import { Command, Option } from 'clipanion'
import { stringify } from 'yaml'
import type { ConfigurationDocument } from '@eelgrassmux/schema/configuration'
import { parseConfiguration } from '@eelgrassmux/schema/parseConfiguration'
import { checkReferences } from '@eelgrassmux/schema/checkReferences'
import type { HostReport } from '@eelgrassmux/rpc/methods/controlMethods'
import type { DocumentName } from '@eelgrassmux/state/commands'
import { newestEvacuations, type ControlClient } from './ControlClient.js'
import { ControlCommand } from './ControlCommand.js'
import { describeLoadFeatures } from './describeLoadFeatures.js'
import { diffDocuments, formatDifference } from './diffDocuments.js'
import { EXIT_FAILED } from './exitCodes.js'
import { waitUntilInForce } from './waitUntilInForce.js'

/** Reads and validates configuration files; reports errors with their line and field. */
async function readDocuments (files: readonly string[], printError: (line: string) => void): Promise<ConfigurationDocument[] | undefined> {
  const texts = await Promise.all(files.map(async file => await readFile(file, 'utf8')))
  const documents: ConfigurationDocument[] = []
  let isValid = true
  texts.forEach((text, position) => {
    // References may point to documents that are in force already, so the control hosts check references.
    const parsed = parseConfiguration(text, { checkReferences: false })
    if (parsed.ok) documents.push(...parsed.value.documents)
    else {
      isValid = false
      for (const { line, field, message } of parsed.error) printError(`${files[position]}:${line}: ${field === '' ? '' : `${field}: `}${message}`)
    }
  })
  return isValid ? documents : undefined
}

/** `apply`: sends configuration documents to the control hosts. */
export class ApplyCommand extends ControlCommand {
  static override paths = [['apply']]
  static override usage = Command.Usage({
    description: 'send configuration documents',
    details: 'Adds or replaces the documents of the files. With --replace everything else is removed. With --wait it returns when the change is in force on all live hosts.'
  })

  files = Option.Rest({ required: 1 })
  replace = Option.Boolean('--replace', false, { description: 'remove documents that the files do not have' })
  wait = Option.Boolean('--wait', false, { description: 'return when it is in force everywhere' })
  dryRun = Option.Boolean('--check', false, { description: 'check the files only' })
  expected = Option.String('--expected-revision', { description: 'refuse unless this revision is the newest' })
  requestId = Option.String('--request-id', { description: 'name of this request; a resend gets the first answer' })
  freshness = Option.String('--freshness-ms', '3000', { env: 'EELGRASSMUX_FRESHNESS_MS', description: 'lease of the hosts, in milliseconds' })

  protected override async run (client: ControlClient, timeoutMs: number): Promise<number> {
    const documents = await readDocuments(this.files, line => { this.printError(line) })
    if (documents === undefined) return EXIT_FAILED
    const current = await client.configuration()
    if (!current.ok) return this.printControlError(current.error)
    const removes = this.replace ? removedNames(current.value.configuration.documents, documents) : []
    const problem = checkReferences({ documents: mergeDocuments(current.value.configuration.documents, documents, removes) })[0]
    if (problem !== undefined) return this.printError(`${problem.field}: ${problem.message}`)
    if (this.dryRun) {
      this.print('the configuration is valid')
      return 0
    }
    const expectedRevision = this.expected === undefined ? (this.replace ? current.value.revision : undefined) : Number(this.expected)
    const result = await client.propose({
      kind: 'change-configuration',
      requestId: this.requestId ?? randomUUID(),
      ...(expectedRevision === undefined ? {} : { expectedRevision }),
      upserts: documents,
      removes
    })
    if (!result.ok) return this.printControlError(result.error)
    switch (result.value.kind) {
      case 'accepted':
        this.print(`accepted as revision ${result.value.revision}`)
        return this.wait ? await this.#wait(client, timeoutMs) : 0
      case 'revision-conflict': return this.printError(`the newest revision is ${result.value.revision}, not ${expectedRevision ?? ''}`)
      case 'invalid': return this.printError(result.value.message)
      default: return this.printError(`unexpected answer ${result.value.kind}`)
    }
  }

  async #wait (client: ControlClient, timeoutMs: number): Promise<number> {
    const majority = await client.majority()
    if (!majority.ok) return this.printControlError(majority.error)
    const view = Math.max(...majority.value.answers.map(answer => answer.viewRevision))
    const outcome = await waitUntilInForce(client, view, Number(this.freshness), timeoutMs)
    if (outcome.kind === 'waiting') return this.printError(`not yet in force on: ${outcome.behind.join(', ')}`)
    this.print(`in force on ${outcome.hosts} hosts after ${Math.round(outcome.elapsedMs)} ms`)
    return 0
  }
}

function removedNames (current: readonly ConfigurationDocument[], desired: readonly ConfigurationDocument[]): DocumentName[] {
  const names = new Set(desired.map(({ kind, name }) => `${kind}/${name}`))
  return current.filter(({ kind, name }) => !names.has(`${kind}/${name}`)).map(({ kind, name }) => ({ kind, name }))
}

function mergeDocuments (
  current: readonly ConfigurationDocument[], upserts: readonly ConfigurationDocument[], removes: readonly DocumentName[]
): ConfigurationDocument[] {
  const merged = new Map(current.map(document => [`${document.kind}/${document.name}`, document]))
  for (const { kind, name } of removes) merged.delete(`${kind}/${name}`)
  for (const document of upserts) merged.set(`${document.kind}/${document.name}`, document)
  return [...merged.values()]
}

/** `show`: prints the newest accepted configuration. */
export class ShowCommand extends ControlCommand {
  static override paths = [['show']]
  static override usage = Command.Usage({ description: 'print the newest accepted configuration' })
  kind = Option.String('--kind', { description: 'only documents of this kind' })

  protected override async run (client: ControlClient): Promise<number> {
    const current = await client.configuration()
    if (!current.ok) return this.printControlError(current.error)
    this.print(`# revision ${current.value.revision}`)
    for (const document of current.value.configuration.documents) {
      if (this.kind === undefined || document.kind === this.kind) this.print(`---\n${stringify(document).trimEnd()}`)
    }
    return 0
  }
}

/** `diff`: compares configuration files with the newest accepted configuration. */
export class DiffCommand extends ControlCommand {
  static override paths = [['diff']]
  static override usage = Command.Usage({ description: 'show what apply would change' })
  files = Option.Rest({ required: 1 })

  protected override async run (client: ControlClient): Promise<number> {
    const documents = await readDocuments(this.files, line => { this.printError(line) })
    if (documents === undefined) return EXIT_FAILED
    const current = await client.configuration()
    if (!current.ok) return this.printControlError(current.error)
    const differences = diffDocuments(current.value.configuration.documents, documents)
    for (const difference of differences) this.print(formatDifference(difference))
    if (differences.length === 0) this.print('no differences')
    return 0
  }
}

/** `watch`: prints changes of the view as they arrive. */
export class WatchCommand extends ControlCommand {
  static override paths = [['watch']]
  static override usage = Command.Usage({ description: 'print changes of configuration and shard owners until interrupted' })

  protected override async run (client: ControlClient): Promise<number> {
    const abort = new AbortController()
    process.once('SIGINT', () => { abort.abort() })
    process.once('SIGTERM', () => { abort.abort() })
    await client.watch(message => {
      const changed = message.kind === 'snapshot' ? `${message.documents.length} documents` : message.upserts.map(({ kind, name }) => `${kind}/${name}`).join(', ')
      this.print(`view ${message.viewRevision} revision ${message.revision} ${message.kind} ${changed}`)
    }, abort.signal)
    return 0
  }
}

/** `hosts`: lists hosts with the view that is in force on each. */
export class HostsCommand extends ControlCommand {
  static override paths = [['hosts']]
  static override usage = Command.Usage({ description: 'list entry hosts and directories with the view in force on each' })

  protected override async run (client: ControlClient): Promise<number> {
    const majority = await client.majority()
    if (!majority.ok) return this.printControlError(majority.error)
    const seen = new Set<string>()
    const reports = majority.value.answers.flatMap(answer => answer.hosts).sort((left, right) => left.ageMs - right.ageMs)
    for (const report of reports) {
      const key = `${report.role} ${report.host}`
      if (seen.has(key)) continue
      seen.add(key)
      this.print(`${key} ${report.dataCentre} view ${report.viewRevision} heard ${Math.round(report.ageMs)} ms ago${report.accepting ? '' : ' stopping'}`)
    }
    return 0
  }
}

/** `members`: lists the control hosts, removes one, or transfers leadership. */
export class MembersCommand extends ControlCommand {
  static override paths = [['members']]
  static override usage = Command.Usage({ description: 'list control hosts, remove one, or hand leadership over' })
  remove = Option.String('--remove', { description: 'id of a control host that will not come back' })
  transfer = Option.Boolean('--transfer', false, { description: 'hand leadership to another control host' })

  protected override async run (client: ControlClient): Promise<number> {
    if (this.remove !== undefined || this.transfer) {
      const change = this.remove === undefined ? { kind: 'transfer' as const } : { kind: 'remove' as const, id: this.remove }
      const changed = await client.changeMembership(change)
      if (!changed.ok) return this.printControlError(changed.error)
      this.print('done')
      return 0
    }
    const majority = await client.majority()
    if (!majority.ok) return this.printControlError(majority.error)
    const newest = [...majority.value.answers].sort((left, right) => right.commitIndex - left.commitIndex)[0]
    for (const voter of newest?.voters ?? []) this.print(`voter ${voter.id} ${voter.address}${voter.id === newest?.leader ? ' leader' : ''}`)
    for (const learner of newest?.learners ?? []) this.print(`learner ${learner.id} ${learner.address}`)
    this.print(`term ${newest?.term ?? 0} committed ${newest?.commitIndex ?? 0}`)
    return 0
  }
}

/** `orders`: shows the running and the desired weight version of each engine. */
export class OrdersCommand extends ControlCommand {
  static override paths = [['orders']]
  static override usage = Command.Usage({ description: 'show the weight version of each engine against the desired one' })

  protected override async run (client: ControlClient): Promise<number> {
    const orders = await client.orders()
    if (!orders.ok) return this.printControlError(orders.error)
    for (const order of orders.value) {
      this.print(`${order.endpoint} ${order.model} runs ${order.runningVersion === '' ? '?' : order.runningVersion} wants ${order.desiredVersion} ${order.state}`)
    }
    return 0
  }
}

/** `doctor`: checks the control hosts, other hosts, engines and quarantine entries, and prints problems. */
export class DoctorCommand extends ControlCommand {
  static override paths = [['doctor']]
  static override usage = Command.Usage({ description: 'check control hosts, hosts and engines; exit 1 if something is wrong' })
  freshness = Option.String('--freshness-ms', '3000', { env: 'EELGRASSMUX_FRESHNESS_MS' })

  protected override async run (client: ControlClient): Promise<number> {
    const findings: string[] = []
    const majority = await client.majority()
    if (!majority.ok) return this.printControlError(majority.error)
    const { answers, voters } = majority.value
    if (answers.length < voters) findings.push(`${voters - answers.length} of ${voters} control hosts do not answer`)
    if (!answers.some(answer => answer.leader !== '')) findings.push('there is no leader')
    const view = Math.max(...answers.map(answer => answer.viewRevision))
    const freshest = new Map<string, HostReport>()
    for (const report of answers.flatMap(answer => answer.hosts)) {
      const known = freshest.get(report.host)
      if (known === undefined || report.ageMs < known.ageMs) freshest.set(report.host, report)
    }
    for (const [host, { ageMs, viewRevision }] of freshest) {
      if (ageMs > Number(this.freshness)) findings.push(`host ${host} was heard of ${Math.round(ageMs)} ms ago`)
      else if (viewRevision < view) findings.push(`host ${host} has view ${viewRevision}, the newest is ${view}`)
    }
    for (const { dataCentre, isEvacuated } of newestEvacuations(answers).orders) if (isEvacuated) findings.push(`data centre ${dataCentre} is evacuated`)
    const orders = await client.orders()
    const pendingOrders = orders.ok ? orders.value.filter(order => order.state !== 'as-desired') : []
    for (const order of pendingOrders) findings.push(`engine ${order.endpoint} is ${order.state}`)
    const entries = await client.quarantineEntries()
    const quarantinedEntries = entries.ok ? entries.value.filter(({ state }) => state === 'quarantined') : []
    for (const { fingerprint, service } of quarantinedEntries) findings.push(`request ${fingerprint} of ${service} is quarantined: it crashed the endpoints that ran it`)
    for (const line of describeLoadFeatures([...freshest.values()])) this.print(line)
    for (const finding of findings) this.print(finding)
    if (findings.length === 0) this.print('all is well')
    return findings.length === 0 ? 0 : EXIT_FAILED
  }
}
