/** Runs an endpoint stand-in as a process. */
import { writeSync } from 'node:fs'
import { Builtins, Cli, Command, Option } from 'clipanion'
import { EndpointStandin } from './lib/EndpointStandin.js'

const HOST = '127.0.0.1'

class EndpointCommand extends Command {
  static override paths = [Command.Default]
  static override usage = Command.Usage({ description: 'run an endpoint stand-in that prints a line for each run' })
  id = Option.String('--id', { required: true, description: 'name of the incarnation' })
  model = Option.String('--model', '', { description: 'model whose weights are loaded; none if empty' })
  version = Option.String('--weights-version', '0', { description: 'version of the weights that are loaded at the start' })

  software = Option.String('--software', 'v1', { description: 'version of the software' })

  override async execute (): Promise<number> {
    // Writes synchronously, so that no line about a run is lost if the process is killed.
    const print = (line: object): void => { writeSync(1, `${JSON.stringify(line)}\n`) }
    const standin = new EndpointStandin({ id: this.id, model: this.model, version: Number(this.version), software: this.software }, print, code => { process.exit(code) })
    const port = await standin.listen(HOST)
    print({ event: 'listening', http: `${HOST}:${port}` })
    await new Promise<void>(resolve => { process.once('SIGTERM', resolve) })
    await standin.close()
    return 0
  }
}

const cli = new Cli({ binaryName: 'soak-endpoint' })
cli.register(EndpointCommand)
cli.register(Builtins.HelpCommand)
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext)
