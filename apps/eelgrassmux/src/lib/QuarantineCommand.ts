/** `quarantine`: lists requests that are quarantined because they crashed endpoints, and lifts quarantines. */
import { Command, Option } from 'clipanion'
import { fingerprintSchema } from '@eelgrassmux/schema/quarantineEntry'
import type { ControlClient } from './ControlClient.js'
import { ControlCommand } from './ControlCommand.js'
import { EXIT_USAGE } from './exitCodes.js'

const MILLISECONDS_PER_SECOND = 1000

/** Lists all quarantine entries, or lifts the quarantine of one request. */
export class QuarantineCommand extends ControlCommand {
  /** `verdicts` is the name of this command in earlier releases. */
  static override paths = [['quarantine'], ['verdicts']]
  static override usage = Command.Usage({
    description: 'list requests that are suspected, quarantined or on probation, or let one through again',
    details: 'A request that is let through is not suspected again for ten minutes, whatever it does.',
    examples: [['Let a request through again', 'eelgrassmux quarantine --lift 55b32bac81f8c24df242df5152195935']]
  })

  lift = Option.String('--lift', { description: 'fingerprint of a request to let through again' })

  protected override async run (client: ControlClient): Promise<number> {
    return this.lift === undefined ? await this.#list(client) : await this.#lift(client, this.lift)
  }

  async #list (client: ControlClient): Promise<number> {
    const entries = await client.quarantineEntries()
    if (!entries.ok) return this.printControlError(entries.error)
    for (const { fingerprint, service, state, quarantines, leftMs } of entries.value) {
      this.print(`${fingerprint} ${service} ${state} for ${Math.round(leftMs / MILLISECONDS_PER_SECOND)} s, quarantined ${quarantines} times so far`)
    }
    if (entries.value.length === 0) this.print('no request is quarantined')
    return 0
  }

  async #lift (client: ControlClient, text: string): Promise<number> {
    const fingerprint = fingerprintSchema.safeParse(text)
    if (!fingerprint.success) return this.printError(`--lift: ${fingerprint.error.issues[0]?.message ?? ''}`, EXIT_USAGE)
    const entries = await client.quarantineEntries()
    if (!entries.ok) return this.printControlError(entries.error)
    if (!entries.value.some(entry => entry.fingerprint === fingerprint.data)) return this.printError(`--lift: there is no entry on ${fingerprint.data}`)
    const lifted = await client.clearRequest(fingerprint.data)
    if (!lifted.ok) return this.printControlError(lifted.error)
    this.print('lifted')
    return 0
  }
}
