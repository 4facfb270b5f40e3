/** `npm run measure`: takes the measurements that the users take, of the product and its baselines. */
import { Builtins, Cli, Command, Option } from 'clipanion'
import { PLACEMENT_POLICIES } from '@eelgrassmux/policy/placement/createPlacementPolicy'
import { TIME_COMPRESSION } from '@eelgrassmux/load/trace'
import { FAULT_NAMES } from './lib/measure/faults.js'
import { measureControl } from './lib/measure/measureControl.js'
import { measureOverhead } from './lib/measure/measureOverhead.js'
import { describeRatios, describeResult, measurePolicies, type ProfileName } from './lib/measure/measurePolicies.js'

class PoliciesCommand extends Command {
  static override paths = [Command.Default, ['policies']]
  static override usage = Command.Usage({ description: 'replay one trace under each placement policy' })
  seconds = Option.String('--seconds', '20', { description: 'length of the trace' })
  rate = Option.String('--requests-per-second', '35')
  seed = Option.String('--seed', '1')
  profile = Option.String('--profile', 'tmts', { description: 'tmts or lscsa' })
  fault = Option.String('--fault', { description: `one of ${FAULT_NAMES.join(', ')}` })
  counters = Option.Boolean('--counters', false, { description: 'print the counters of the daemons too' })
  policies = Option.String('--policies', PLACEMENT_POLICIES.join(','), { description: 'policies to measure' })

  override async execute (): Promise<number> {
    const fault = FAULT_NAMES.find(name => name === this.fault)
    if (this.fault !== undefined && fault === undefined) return this.#printUsageError(`--fault must be one of ${FAULT_NAMES.join(', ')}`)
    if (this.profile !== 'tmts' && this.profile !== 'lscsa') return this.#printUsageError('--profile must be tmts or lscsa')
    const profile: ProfileName = this.profile
    const wanted = this.policies.split(',')
    const policies = PLACEMENT_POLICIES.filter(name => wanted.includes(name))
    this.context.stdout.write(`profile ${profile} seed ${this.seed} fault ${fault ?? 'none'}: ${this.seconds} s at ${this.rate} requests/s, gaps squeezed ${TIME_COMPRESSION} times\n`)
    const results = await measurePolicies({
      seconds: Number(this.seconds), requestsPerSecond: Number(this.rate), seed: Number(this.seed), profile, fault, policies
    }, result => {
      this.context.stdout.write(`${describeResult(result)}\n`)
      if (this.counters) for (const [name, count] of result.counters) this.context.stdout.write(`  ${name} ${count}\n`)
      for (const problem of result.problems.slice(0, 3)) this.context.stdout.write(`  ${problem}\n`)
    })
    for (const line of describeRatios(results)) this.context.stdout.write(`${line}\n`)
    return results.every(result => result.wrong === 0) ? 0 : 1
  }

  #printUsageError (line: string): number {
    this.context.stderr.write(`${line}\n`)
    return 2
  }
}

class ControlCommand extends Command {
  static override paths = [['control']]
  static override usage = Command.Usage({ description: 'commits, elections, time to be in force, watchers' })

  override async execute (): Promise<number> {
    await measureControl(line => { this.context.stdout.write(`${line}\n`) })
    return 0
  }
}

class OverheadCommand extends Command {
  static override paths = [['overhead']]
  static override usage = Command.Usage({ description: 'what the entry host adds to a stream' })

  override async execute (): Promise<number> {
    await measureOverhead(line => { this.context.stdout.write(`${line}\n`) })
    return 0
  }
}

const cli = new Cli({ binaryName: 'npm run measure --', binaryLabel: 'Measures' })
for (const command of [PoliciesCommand, ControlCommand, OverheadCommand, Builtins.HelpCommand]) cli.register(command)
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext)
