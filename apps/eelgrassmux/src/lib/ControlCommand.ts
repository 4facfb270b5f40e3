/** Base class of the commands that call the control hosts. */
import { Command, Option } from 'clipanion'
import { addressListSetting } from '@eelgrassmux/daemon/settings'
import { ControlClient, type ControlError } from './ControlClient.js'
import { EXIT_FAILED, EXIT_USAGE } from './exitCodes.js'

/** Parses the common options and prints errors. */
export abstract class ControlCommand extends Command {
  control = Option.String('--control', '', { env: 'EELGRASSMUX_CONTROL', description: 'control hosts, separated by commas' })
  timeout = Option.String('--timeout-ms', '10000', { env: 'EELGRASSMUX_TIMEOUT_MS', description: 'how long to try, in milliseconds' })

  override async execute (): Promise<number> {
    const addresses = addressListSetting.safeParse(this.control)
    const timeoutMs = Number(this.timeout)
    if (!addresses.success || addresses.data.length === 0) return this.printError(`--control ${addresses.error?.issues[0]?.message ?? 'names no control host'}`, EXIT_USAGE)
    if (!Number.isInteger(timeoutMs) || timeoutMs < 1) return this.printError('--timeout-ms must be a whole number of milliseconds', EXIT_USAGE)
    const client = new ControlClient(addresses.data, timeoutMs)
    try {
      return await this.run(client, timeoutMs)
    } finally {
      client.close()
    }
  }

  protected abstract run (client: ControlClient, timeoutMs: number): Promise<number>

  protected print (line: string): void {
    this.context.stdout.write(`${line}\n`)
  }

  protected printError (line: string, code = EXIT_FAILED): number {
    this.context.stderr.write(`eelgrassmux: ${line}\n`)
    return code
  }

  protected printControlError (error: ControlError): number {
    switch (error.kind) {
      case 'no-majority': return this.printError(`${error.answered} of ${error.voters} control hosts answered; a majority is needed`)
      case 'uncertain': return this.printError('no answer in time: the change may have been accepted; send it again with the same --request-id')
      case 'refused': return this.printError(`refused: ${error.reason}`)
      case 'no-answer': return this.printError('no control host answered')
    }
  }
}
