#!/usr/bin/env node
/** Command line that starts stand-ins for external systems, for development and tests. */
import { Builtins, Cli, Command, Option } from 'clipanion'
import type { H3 } from 'h3'
import { EngineStandin } from './lib/EngineStandin.js'
import { engineRoutes } from './lib/engineRoutes.js'
import { serveStandin } from './lib/httpApp.js'
import { membershipRoutes, serviceRoutes, weightRoutes } from './lib/otherStandins.js'
import { StoreStandin } from './lib/StoreStandin.js'

/** Base class of the stand-in commands: serves the routes and prints the address on which it listens. */
abstract class StandinCommand extends Command {
  host = Option.String('--host', '127.0.0.1')
  port = Option.String('--port', '0')
  incarnation = Option.String('--incarnation', '1')

  protected abstract routes (): H3

  override async execute (): Promise<number> {
    const running = await serveStandin(this.routes(), this.host, Number(this.port))
    this.context.stdout.write(`${JSON.stringify({ event: 'listening', program: 'eelgrassmux-standin', http: running.address })}\n`)
    await new Promise(resolve => { process.once('SIGTERM', resolve) })
    process.exit(0)
  }
}

class EngineCommand extends StandinCommand {
  static override paths = [['engine']]
  model = Option.String('--model', 'base')
  version = Option.String('--version-name', 'v1')
  maxRunning = Option.String('--max-running', '16')
  prefill = Option.String('--prefill-tokens-per-ms', '8')
  decode = Option.String('--decode-ms', '5')
  cacheBlocks = Option.String('--cache-blocks', '512')
  bytesPerToken = Option.String('--bytes-per-token', '512')
  eventLag = Option.String('--event-lag-ms', '200')
  reportLag = Option.String('--report-lag-ms', '250')
  weightStore = Option.String('--weight-store', '127.0.0.1:1')
  ignoresFencing = Option.Boolean('--ignores-fencing', false)
  disorder = Option.Boolean('--disorder', false)
  poisonText = Option.String('--poison-text', '', { description: 'a run whose prompt contains it ends the process' })

  protected override routes (): H3 {
    const incarnation = Number(this.incarnation)
    const engine = new EngineStandin({
      model: this.model,
      version: this.version,
      maxRunning: Number(this.maxRunning),
      prefillTokensPerMs: Number(this.prefill),
      decodeMs: Number(this.decode),
      cacheBlocks: Number(this.cacheBlocks),
      bytesPerToken: Number(this.bytesPerToken),
      eventLagMs: Number(this.eventLag),
      reportLagMs: Number(this.reportLag),
      weightStore: this.weightStore,
      honoursFencing: !this.ignoresFencing,
      disorder: this.disorder,
      poisonText: this.poisonText,
      crash: () => { process.exit(1) },
      incarnation
    })
    return engineRoutes(engine, incarnation)
  }
}

class StoreCommand extends StandinCommand {
  static override paths = [['store']]
  memoryBytes = Option.String('--memory-bytes', String(64 * 1024 * 1024))
  diskBytes = Option.String('--disk-bytes', String(192 * 1024 * 1024))
  link = Option.String('--link-bytes-per-second', String(100 * 1024 * 1024))

  protected override routes (): H3 {
    return new StoreStandin({
      memoryBytes: Number(this.memoryBytes),
      diskBytes: Number(this.diskBytes),
      linkBytesPerSecond: Number(this.link),
      incarnation: Number(this.incarnation)
    }).routes()
  }
}

class WeightsCommand extends StandinCommand {
  static override paths = [['weights']]
  loadMs = Option.String('--load-ms', '500')

  protected override routes (): H3 {
    return weightRoutes({ loadMs: Number(this.loadMs) })
  }
}

class ServiceCommand extends StandinCommand {
  static override paths = [['service']]
  name = Option.String('--name', 'accounts')
  workMs = Option.String('--work-ms', '5')

  protected override routes (): H3 {
    return serviceRoutes({ name: this.name, workMs: Number(this.workMs), incarnation: Number(this.incarnation) })
  }
}

class MembersCommand extends StandinCommand {
  static override paths = [['members']]
  lagMs = Option.String('--lag-ms', '1000')

  protected override routes (): H3 {
    return membershipRoutes({ lagMs: Number(this.lagMs) })
  }
}

const cli = new Cli({ binaryName: 'eelgrassmux-standin', binaryLabel: 'Stand-ins for engines, stores, services and the platform' })
for (const command of [EngineCommand, StoreCommand, WeightsCommand, ServiceCommand, MembersCommand, Builtins.HelpCommand]) cli.register(command)
await cli.runExit(process.argv.slice(2), Cli.defaultContext)
