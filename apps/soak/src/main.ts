/** `npm run soak`: runs real processes under seeded faults; see docs/PROOFS.md. */
import { Builtins, Cli, Command, Option } from 'clipanion'
import { loadFeatureSchema, type LoadFeature } from '@eelgrassmux/routing/features/LoadFeatures'
import { ENDPOINT_BREAKS } from './lib/standinProtocol.js'
import { ALL_FAULT_KINDS, FAULT_KINDS, type FaultKind } from './lib/faultPlan.js'
import { REGRESSION_SEEDS, type RegressionSeed } from './lib/regressionSeeds.js'
import { PROCESS_BREAKS, runSoak, type SoakBreak, type SoakResult } from './lib/runSoak.js'

const BREAKS: readonly SoakBreak[] = [...ENDPOINT_BREAKS, ...PROCESS_BREAKS]

/** Kinds that can be named; the restraint of a whole service takes up the first fourteen seconds of a run. */
const KNOWN_KINDS: readonly FaultKind[] = [...ALL_FAULT_KINDS, 'restrained-service']

/** Number of control hosts: the smallest group that tolerates the loss of one. */
const CONTROL_HOSTS = 3

/** Maximum number of violations to print for each run. */
const MAX_PRINTED_VIOLATIONS = 10

const EXIT_VIOLATIONS = 1
const EXIT_USAGE = 2

class SoakCommand extends Command {
  static override paths = [Command.Default]
  static override usage = Command.Usage({ description: 'run all programs as processes under seeded faults and check every guarantee' })
  seed = Option.String('--seed', '1', { description: 'first seed' })
  seconds = Option.String('--seconds', '30', { description: 'duration of the fault phase of each run, in seconds' })
  runs = Option.String('--runs', '1', { description: 'number of seeds to run, one after another' })
  entries = Option.String('--entries', '4', { description: 'number of entry hosts' })
  endpoints = Option.String('--endpoints', '3', { description: 'number of plain endpoints, and of engines' })
  callers = Option.String('--callers', '32', { description: 'number of callers, with one connection each' })
  graceMs = Option.String('--grace-ms', '8000', { description: 'grace period from SIGTERM to SIGKILL, in milliseconds' })
  kinds = Option.String('--kinds', { description: `kinds of faults to choose from, separated by commas: ${[...new Set(KNOWN_KINDS)].join(', ')}` })
  poisonParts = Option.String('--poison-parts', '0', { description: 'number of parts of prompts in each run that crash every endpoint that runs a request with them' })
  poison = Option.String('--poison', '1', { description: 'number of requests in each run that crash every endpoint that runs them and are sent repeatedly' })
  loadFeatures = Option.String('--load-features', '', { description: `features for hard load that entry hosts use, separated by commas; all for all of them: ${loadFeatureSchema.options.join(', ')}` })
  skipRegressions = Option.Boolean('--skip-regressions', false, { description: 'do not run the regression seeds first' })
  broken = Option.String('--break', { description: `break a guarantee on purpose: ${BREAKS.join(', ')}` })

  override async execute (): Promise<number> {
    const broken = BREAKS.find(name => name === this.broken)
    if (this.broken !== undefined && broken === undefined) {
      this.context.stderr.write(`unknown break ${this.broken}; known breaks: ${BREAKS.join(', ')}\n`)
      return EXIT_USAGE
    }
    const regressions = this.skipRegressions ? [] : REGRESSION_SEEDS
    const fresh = Array.from({ length: Number(this.runs) }, (_, index) => this.#planOf(Number(this.seed) + index))
    const breaks = broken === undefined ? [] : [broken]
    let failed = 0
    for (const plan of [...regressions, ...fresh]) {
      const poisonRequests = fresh.includes(plan) ? Number(this.poison) : 0
      const result = await this.#play(plan, breaks, poisonRequests)
      this.#print(result)
      if (result.violations.length > 0) failed += 1
    }
    this.context.stdout.write(`${regressions.length + fresh.length} runs, ${failed} with violations\n`)
    return failed === 0 ? 0 : EXIT_VIOLATIONS
  }

  #planOf (seed: number): Omit<RegressionSeed, 'cause'> {
    const named = this.kinds?.split(',')
    const kinds = named === undefined ? ALL_FAULT_KINDS : KNOWN_KINDS.filter(kind => named.includes(kind))
    return { seed, seconds: Number(this.seconds), entries: Number(this.entries), callers: Number(this.callers), kinds }
  }

  async #play (
    { seed, seconds, entries, callers, kinds = FAULT_KINDS }: Omit<RegressionSeed, 'cause'>, breaks: readonly SoakBreak[], poisonRequests: number
  ): Promise<SoakResult> {
    const endpoints = Number(this.endpoints)
    const shape = { controls: CONTROL_HOSTS, entries, plainEndpoints: endpoints, engines: endpoints }
    return await runSoak({ seed, seconds, breaks, kinds, shape, callers, graceMs: Number(this.graceMs), poisonRequests, poisonParts: Number(this.poisonParts), loadFeatures: this.#namedFeatures() })
  }

  #namedFeatures (): LoadFeature[] {
    const named = this.loadFeatures.split(',')
    return loadFeatureSchema.options.filter(feature => named.includes('all') || named.includes(feature))
  }

  #print ({ seed, requests, endCounts, actionCount, memory, violations, timeline, logFiles }: SoakResult): void {
    const counts = [...endCounts].sort().map(([name, count]) => `${name}: ${count}`).join(', ')
    this.context.stdout.write(`seed ${seed}: ${requests} requests (${counts}), ${actionCount} actions, at most ${memory}, ${violations.length} violations\n`)
    if (violations.length === 0) return
    for (const { guarantee, detail } of violations.slice(0, MAX_PRINTED_VIOLATIONS)) this.context.stdout.write(`  ${guarantee}: ${detail}\n`)
    this.context.stdout.write(`  logs: ${logFiles.join(' ')}\n  timeline:\n${timeline.map(line => `    ${line}\n`).join('')}`)
  }
}

const cli = new Cli({ binaryName: 'npm run soak --', binaryLabel: 'Fault soak' })
cli.register(SoakCommand)
cli.register(Builtins.HelpCommand)
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext)
