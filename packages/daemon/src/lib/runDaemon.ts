/**
 * Frame of every daemon: checked settings, readiness, and a graceful stop.
 *
 * SIGTERM: not ready, finish all, exit 0. What is still taken meanwhile is the daemon's own
 * decision. An interrupt after that is the operator's choice and exits at once.
 */
import { monitorEventLoopDelay } from 'node:perf_hooks'
import { Builtins, Cli, Command, Option } from 'clipanion'
import type { z } from 'zod'
import { InvariantViolation } from '@eelgrassmux/schema/invariant'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { startAdminServer } from './AdminServer.js'
import { ProcessSignals } from './ProcessSignals.js'
import { describeMistakes, flagOf, variableOf } from './settings.js'

/** Settings that the frame itself reads. */
export interface CommonSettings {
  readonly host: string
  readonly adminPort: number
  readonly dataCentre: string
  readonly keptStories: number
  readonly logLinesPerSecond: number
}

/** A started daemon. */
export interface RunningDaemon {
  /** Ports to print, by what they serve. */
  readonly addresses: Readonly<Record<string, string>>
  /** Whether new work is welcome. */
  isReady (): boolean
  /**
   * Told at once when a planned stop begins.
   *
   * @param signalledAt - monotonic milliseconds of the signal
   */
  stopping? (signalledAt: number): void
  /** Told that settings which may change while the process runs have changed. */
  reload? (): void
  /** Sees the planned stop through; resolves when all work under way is finished and none will begin. */
  drain (): Promise<void>
  /** Closes sockets and files. */
  close (): Promise<void>
}

/** A daemon's program. */
export interface DaemonProgram<Settings extends CommonSettings> {
  readonly name: string
  readonly description: string
  readonly settings: z.ZodObject<z.ZodRawShape, z.core.$strip> & z.ZodType<Settings>
  /** Starts all tasks of the daemon. */
  start (settings: Settings, telemetry: Telemetry, fail: (error: unknown) => void): Promise<RunningDaemon>
}

/** Exit code for settings that are missing or wrong. */
const EXIT_SETTINGS = 2

/** Exit code for a broken invariant or a failed disk. */
const EXIT_FATAL = 3

/** Longest wait for whoever reads the last log lines, in milliseconds: its callers are gone by then, and a busy machine takes some tenths of a second to write. */
const LAST_LINES_MS = 1000

/**
 * Interval at which the event loop's delay is measured, in milliseconds. Each wakes the process: at
 * 20 and, for the metrics library's own, 10, a host at rest spent a sixth of its processor time on that.
 */
const LOOP_RESOLUTION_MS = 500

/**
 * Runs a daemon until it is stopped. Never returns before the process may exit.
 *
 * @param program - what to run
 * @param args - command line arguments
 * @param signals - what the process is told; given if it listened before the program was loaded
 */
export async function runDaemon<Settings extends CommonSettings> (
  program: DaemonProgram<Settings>, args: readonly string[], signals = new ProcessSignals()
): Promise<void> {
  const cli = new Cli({ binaryName: program.name, binaryLabel: program.description, binaryVersion: '0.1.0' })
  cli.register(commandFor(program, signals))
  cli.register(Builtins.HelpCommand)
  cli.register(Builtins.VersionCommand)
  process.exitCode = await cli.run([...args], Cli.defaultContext)
}

function commandFor<Settings extends CommonSettings> (program: DaemonProgram<Settings>, signals: ProcessSignals): new () => Command {
  const names = Object.keys(program.settings.shape)
  return class extends Command {
    static override paths = [Command.Default]
    static override usage = Command.Usage({ description: program.description, details: usageDetails(program) })
    check = Option.Boolean('--check', false, { description: 'check the settings and exit' })

    constructor () {
      super()
      // One option for each setting of the schema, so that flags can't drift from it.
      for (const name of names) {
        const description = program.settings.shape[name] instanceof Object ? describe(program, name) : ''
        Reflect.set(this, name, Option.String(flagOf(name), { env: variableOf(name), description }))
      }
    }

    override async execute (): Promise<number> {
      const given = Object.fromEntries(names.map(name => [name, Reflect.get(this, name)]))
      const parsed = program.settings.safeParse(given, { reportInput: true })
      if (!parsed.success) {
        const mistakes = describeMistakes(parsed.error.issues).map(({ flag, variable, message }) => `${flag} (${variable}) ${message}`)
        this.context.stderr.write(`${program.name}: ${mistakes.join('; ')}\n`)
        return EXIT_SETTINGS
      }
      if (this.check) {
        this.context.stdout.write('settings are valid\n')
        return 0
      }
      return await supervise(program, parsed.data, signals)
    }
  }
}

function describe<Settings extends CommonSettings> (program: DaemonProgram<Settings>, name: string): string {
  const setting = program.settings.shape[name]
  return setting !== undefined && 'description' in setting ? String(setting.description ?? '') : ''
}

function usageDetails<Settings extends CommonSettings> (program: DaemonProgram<Settings>): string {
  const lines = Object.keys(program.settings.shape)
    .map(name => `- \`${flagOf(name)}\` (\`${variableOf(name)}\`): ${describe(program, name)}`)
  return `Settings, each a flag or an environment variable:\n\n${lines.join('\n\n')}`
}

async function supervise<Settings extends CommonSettings> (program: DaemonProgram<Settings>, settings: Settings, signals: ProcessSignals): Promise<number> {
  const telemetry = new Telemetry(program.name, settings)
  const invariants = telemetry.labelledCounter('invariant_violations_total', 'Broken invariants; the process stops at the first', 'invariant')
  const fail = (error: unknown): void => {
    const invariant = error instanceof InvariantViolation ? error.invariant : 'unexpected-error'
    invariants.count(invariant)
    telemetry.logFault('fatal', { invariant, message: String(error) })
    process.stderr.write(`${program.name}: ${error instanceof Error ? error.stack ?? error.message : String(error)}\n`)
    telemetry.writeOut()
    process.exit(EXIT_FATAL)
  }
  process.on('uncaughtException', fail)
  process.on('unhandledRejection', fail)
  const loopDelay = monitorEventLoopDelay({ resolution: LOOP_RESOLUTION_MS })
  loopDelay.enable()
  telemetry.gauge('event_loop_delay_seconds', '99th percentile of event loop delay since the last reading', () => {
    // What it records is the time between two measurements.
    const seconds = loopDelay.percentile(99) / 1e9 - LOOP_RESOLUTION_MS / 1000
    loopDelay.reset()
    return Number.isFinite(seconds) ? Math.max(0, seconds) : 0
  })
  const daemon = await program.start(settings, telemetry, fail)
  let draining = false
  const admin = await startAdminServer(settings.host, settings.adminPort, telemetry, () => !draining && daemon.isReady())
  const addresses = { ...daemon.addresses, admin: `${settings.host}:${admin.port}` }
  process.stdout.write(`${JSON.stringify({ event: 'listening', program: program.name, ...addresses })}\n`)
  telemetry.logStateChange('started', addresses)
  signals.onCut(() => { telemetry.writeOut() })
  signals.onReload(() => {
    telemetry.logStateChange('reloading')
    daemon.reload?.()
  })
  const signalledAt = await signals.stopReceived()
  draining = true
  daemon.stopping?.(signalledAt)
  telemetry.logStateChange('draining')
  await daemon.drain()
  telemetry.logStateChange('stopped')
  await daemon.close()
  await admin.close()
  await telemetry.flush(LAST_LINES_MS)
  telemetry.writeOut()
  process.exit(0)
}
