#!/usr/bin/env node
/** Command line that generates traces of recurring prompts and replays them. */
import { readFile } from 'node:fs/promises'
import { Builtins, Cli, Command, Option } from 'clipanion'
import { makeTrace, parseTrace } from './lib/trace.js'
import { replay } from './lib/replay.js'

class MakeCommand extends Command {
  static override paths = [['make']]
  static override usage = Command.Usage({ description: 'print a trace as JSON lines' })
  seed = Option.String('--seed', '1')
  seconds = Option.String('--seconds', '20')
  rate = Option.String('--requests-per-second', '20')
  customers = Option.String('--customers', '10')
  service = Option.String('--service', 'summaries')

  override async execute (): Promise<number> {
    const customers = Array.from({ length: Number(this.customers) }, (_, index) => `customer-${index}`)
    const lines = makeTrace({
      seed: Number(this.seed), seconds: Number(this.seconds), requestsPerSecond: Number(this.rate), customers, service: this.service
    })
    for (const line of lines) this.context.stdout.write(`${JSON.stringify(line)}\n`)
    return 0
  }
}

class ReplayCommand extends Command {
  static override paths = [['replay']]
  static override usage = Command.Usage({ description: 'replay a trace against entry hosts and print the measures as JSON' })
  trace = Option.String('--trace', { required: true, description: 'file of JSON lines' })
  urls = Option.String('--urls', { required: true, description: 'entry hosts, separated by commas' })
  credentials = Option.String('--credentials', { required: true, description: 'JSON file: credential of each customer' })

  override async execute (): Promise<number> {
    const lines = parseTrace(await readFile(this.trace, 'utf8'))
    const credentials = new Map(Object.entries(JSON.parse(await readFile(this.credentials, 'utf8')) as Record<string, string>))
    const result = await replay(lines, { urls: this.urls.split(','), credentials })
    this.context.stdout.write(`${JSON.stringify(result)}\n`)
    return 0
  }
}

const cli = new Cli({ binaryName: 'eelgrassmux-load', binaryLabel: 'Traces of prompts that return after gaps' })
for (const command of [MakeCommand, ReplayCommand, Builtins.HelpCommand]) cli.register(command)
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext)
