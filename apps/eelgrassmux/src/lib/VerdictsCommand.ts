/** `verdicts`: requests that are held back because they ended the endpoints that ran them. */
import { Command, Option } from 'clipanion'
import { fingerprintSchema } from '@eelgrassmux/schema/requestVerdict'
import type { ControlClient } from './ControlClient.js'
import { ControlCommand } from './ControlCommand.js'
import { EXIT_USAGE } from './exitCodes.js'

const MILLISECONDS_PER_SECOND = 1000

/** Lists verdicts, and lifts one. */
export class VerdictsCommand extends ControlCommand {
  static override paths = [['verdicts']]
  static override usage = Command.Usage({
    description: 'list requests that are suspected, held back or on probation, or let one through again',
    details: 'A request that is let through is not suspected again for ten minutes, whatever it does.',
    examples: [['Let a request through again', 'eelgrassmux verdicts --lift 55b32bac81f8c24df242df5152195935']]
  })

  lift = Option.String('--lift', { description: 'fingerprint of a request to let through again' })

  protected override async run (client: ControlClient): Promise<number> {
    return this.lift === undefined ? await this.#list(client) : await this.#lift(client, this.lift)
  }

  async #list (client: ControlClient): Promise<number> {
    const verdicts = await client.verdicts()
    if (!verdicts.ok) return this.complainOf(verdicts.error)
    for (const { fingerprint, service, state, quarantines, leftMs } of verdicts.value) {
      this.print(`${fingerprint} ${service} ${state} for ${Math.round(leftMs / MILLISECONDS_PER_SECOND)} s, held back ${quarantines} times so far`)
    }
    if (verdicts.value.length === 0) this.print('no request is held back')
    return 0
  }

  async #lift (client: ControlClient, text: string): Promise<number> {
    const fingerprint = fingerprintSchema.safeParse(text)
    if (!fingerprint.success) return this.complain(`--lift: ${fingerprint.error.issues[0]?.message ?? ''}`, EXIT_USAGE)
    const verdicts = await client.verdicts()
    if (!verdicts.ok) return this.complainOf(verdicts.error)
    if (!verdicts.value.some(verdict => verdict.fingerprint === fingerprint.data)) return this.complain(`--lift: there is no verdict on ${fingerprint.data}`)
    const lifted = await client.liftVerdict(fingerprint.data)
    if (!lifted.ok) return this.complainOf(lifted.error)
    this.print('lifted')
    return 0
  }
}
