/** `npm run prove`: randomised runs of the core classes under injected faults; see docs/PROOFS.md. */
import { Cli, Command, Option, Builtins } from 'clipanion'
import { PROMISES, type PromiseName } from './lib/prove/CheckRecorder.js'
import { proveAll } from './lib/prove/proveAll.js'

class ProveCommand extends Command {
  static override paths = [Command.Default]
  static override usage = Command.Usage({ description: 'run seeded schedules of faults and check every promise' })

  seconds = Option.String('--seconds', '20', { description: 'how long to go on' })
  runs = Option.String('--runs', { description: 'exact number of runs of each world, instead of a time' })
  seed = Option.String('--seed', '1', { description: 'first seed; the same seed gives the same run' })
  promise = Option.String('--promise', { description: 'only worlds that exercise this promise' })
  broken = Option.String('--break', { description: 'take away the mechanism of this promise; the run must find it' })

  override async execute (): Promise<number> {
    for (const name of [this.promise, this.broken]) {
      if (name === undefined || isPromise(name)) continue
      this.context.stderr.write(`there is no promise ${name}; there are ${PROMISES.join(', ')}\n`)
      return 2
    }
    return await proveAll({
      seconds: Number(this.seconds),
      runs: this.runs === undefined ? undefined : Number(this.runs),
      seed: Number(this.seed),
      promise: this.promise as PromiseName | undefined,
      broken: this.broken as PromiseName | undefined
    }, line => { this.context.stdout.write(`${line}\n`) })
  }
}

function isPromise (name: string): name is PromiseName {
  return PROMISES.some(promise => promise === name)
}

const cli = new Cli({ binaryName: 'npm run prove --', binaryLabel: 'Randomised runs' })
cli.register(ProveCommand)
cli.register(Builtins.HelpCommand)
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext)
