/** `evacuate`: stops sending requests to the endpoints of a data centre, or resumes. */
import { Command, Option } from 'clipanion'
import { dataCentreNameSchema } from '@eelgrassmux/schema/site/evacuation'
import type { ControlClient } from './ControlClient.js'
import { ControlCommand } from './ControlCommand.js'
import { EXIT_USAGE } from './exitCodes.js'
import { waitUntilInForce } from './waitUntilInForce.js'

const MILLISECONDS_PER_SECOND = 1000

/** Starts or ends the evacuation of a data centre, or shows its status. */
export class EvacuateCommand extends ControlCommand {
  static override paths = [['evacuate']]
  static override usage = Command.Usage({
    description: 'send nothing more to the endpoints of a data centre, or send there again',
    details: 'Requests under way there go on to their end. With start and end it returns when the order is in force on all live hosts. An order that is in force already changes nothing.',
    examples: [['Evacuate a data centre', 'eelgrassmux evacuate hall-north start'], ['Show what is in force', 'eelgrassmux evacuate hall-north status']]
  })

  dataCentre = Option.String({ name: 'data-centre' })
  verb = Option.String({ name: 'start|end|status' })
  freshness = Option.String('--freshness-ms', '3000', { env: 'EELGRASSMUX_FRESHNESS_MS', description: 'lease of the hosts, in milliseconds' })

  protected override async run (client: ControlClient, timeoutMs: number): Promise<number> {
    const name = dataCentreNameSchema.safeParse(this.dataCentre)
    if (!name.success) return this.printError(`data-centre: ${name.error.issues[0]?.message ?? ''}`, EXIT_USAGE)
    switch (this.verb) {
      case 'start': return await this.#order(client, name.data, true, timeoutMs)
      case 'end': return await this.#order(client, name.data, false, timeoutMs)
      case 'status': return await this.#showStatus(client, name.data)
      default: return this.printError(`${this.verb}: write start, end or status`, EXIT_USAGE)
    }
  }

  async #order (client: ControlClient, dataCentre: string, isEvacuated: boolean, timeoutMs: number): Promise<number> {
    const known = await client.evacuations()
    if (!known.ok) return this.printControlError(known.error)
    const answer = await client.propose({ kind: 'order-evacuation', dataCentre, isEvacuated, knownRevision: known.value.revision })
    if (!answer.ok) return this.printControlError(answer.error)
    if (answer.value.kind === 'revision-conflict') return this.printError(`another order about ${dataCentre} came in between; look at its status`)
    if (answer.value.kind !== 'accepted') return this.printError(`refused: ${answer.value.kind === 'invalid' ? answer.value.message : answer.value.kind}`)
    const majority = await client.majority()
    if (!majority.ok) return this.printControlError(majority.error)
    const view = Math.max(...majority.value.answers.map(({ viewRevision }) => viewRevision))
    const outcome = await waitUntilInForce(client, view, Number(this.freshness), timeoutMs)
    if (outcome.kind === 'waiting') return this.printError(`ordered; not yet in force on: ${outcome.behind.join(', ')}`)
    this.print(`${dataCentre} ${isEvacuated ? 'evacuated' : 'in use'}, in force on ${outcome.hosts} hosts`)
    return 0
  }

  async #showStatus (client: ControlClient, dataCentre: string): Promise<number> {
    const known = await client.evacuations()
    if (!known.ok) return this.printControlError(known.error)
    const order = known.value.orders.find(entry => entry.dataCentre === dataCentre)
    const agoSeconds = Math.max(0, Math.round((Date.now() - (order?.orderedAt ?? 0)) / MILLISECONDS_PER_SECOND))
    if (order === undefined) this.print(`${dataCentre} in use, no order so far`)
    else this.print(`${dataCentre} ${order.isEvacuated ? 'evacuated' : 'in use'}, ordered ${agoSeconds} s ago`)
    return 0
  }
}
