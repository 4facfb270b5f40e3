/**
 * Runs a daemon: validates its settings, serves its readiness, and stops it gracefully.
 *
 * On SIGTERM the process reports that it is not ready, finishes all work and exits with 0. Each daemon
 * decides which new work it still accepts during that time. A SIGINT after that exits immediately.
 */
import { monitorEventLoopDelay } from 'node:perf_hooks'
import { Builtins, Cli, Command, Option } from 'clipanion'
import type { z } from 'zod'
import { InvariantViolation } from '@eelgrassmux/schema/invariant'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { startAdminServer } from './AdminServer.js'
import { collectGarbage } from './GarbageCollection.js'
import { BYTES_PER_MEGABYTE } from './MemoryBudget.js'
import { MemoryGuard, type MemoryLevel } from './MemoryGuard.js'
import { exportMemoryMetrics, heapLimitBytes, readMemoryBreakdown, type HeldParts } from './ProcessMemory.js'
import { ProcessSignals } from './ProcessSignals.js'
import { StartStopped, StartWaits } from './StartWaits.js'
import { describeSettingErrors, flagName, environmentVariableName } from './settings.js'

/** Settings that `runDaemon` itself reads. */
export interface CommonSettings {
  readonly host: string
  readonly adminPort: number
  readonly dataCentre: string
  readonly keptStories: number
  readonly logLinesPerSecond: number
  readonly memoryMb: number
}

/** A started daemon. */
export interface RunningDaemon {
  /** Addresses to print at the start, by what they serve. */
  readonly addresses: Readonly<Record<string, string>>
  /** Whether the daemon accepts new work. */
  isReady (): boolean
  /** What the daemon holds in memory, as it counts it. */
  held? (): HeldParts
  /**
   * Called as soon as a graceful stop begins.
   *
   * @param signalledAt - monotonic milliseconds at which the signal arrived
   */
  stopping? (signalledAt: number): void
  /** Called when settings that can be reloaded have changed. */
  reload? (): void
  /** Completes the graceful stop; resolves when all work in progress has finished and no more can begin. */
  drain (): Promise<void>
  /** Closes sockets and files. */
  close (): Promise<void>
}

/** Definition of a daemon. */
export interface DaemonProgram<Settings extends CommonSettings> {
  readonly name: string
  readonly description: string
  readonly settings: z.ZodObject<z.ZodRawShape, z.core.$strip> & z.ZodType<Settings>
  /**
   * Starts the daemon; `fail` logs a fatal error and ends the process, `waits` waits for what the start depends on, `memory` says
   * when work that takes memory has to be refused.
   */
  start (settings: Settings, telemetry: Telemetry, fail: (error: unknown) => void, waits: StartWaits, memory: MemoryLevel): Promise<RunningDaemon>
}

/** Exit code for settings that are missing or invalid. */
const EXIT_INVALID_SETTINGS = 2

/** Exit code for a start that other settings are needed for, or a broken invariant. */
const EXIT_FATAL = 3

/** Longest wait until the last log lines are read, in milliseconds: no caller is connected by then, and a busy machine takes some tenths of a second to write. */
const LOG_FLUSH_TIMEOUT_MS = 1000

/**
 * Interval at which the event loop's delay is sampled, in milliseconds. Each sample wakes the process: with
 * intervals of 20 here and 10 in the metrics library, an idle host spent a sixth of its processor time on them.
 */
const LOOP_DELAY_RESOLUTION_MS = 500

/**
 * Runs a daemon until it is stopped, and ends the process.
 *
 * @param program - daemon to run
 * @param args - command line arguments
 * @param signals - signals of the process; passed if they were listened to before the program was loaded
 */
export async function runDaemon<Settings extends CommonSettings> (
  program: DaemonProgram<Settings>, args: readonly string[], signals = new ProcessSignals()
): Promise<never> {
  const cli = new Cli({ binaryName: program.name, binaryLabel: program.description, binaryVersion: '0.1.0' })
  cli.register(commandFor(program, signals))
  cli.register(Builtins.HelpCommand)
  cli.register(Builtins.VersionCommand)
  // Ports that were opened before the settings were read would keep a process alive that never serves.
  process.exit(await cli.run([...args], Cli.defaultContext))
}

function commandFor<Settings extends CommonSettings> (program: DaemonProgram<Settings>, signals: ProcessSignals): new () => Command {
  const names = Object.keys(program.settings.shape)
  return class extends Command {
    static override paths = [Command.Default]
    static override usage = Command.Usage({ description: program.description, details: usageDetails(program) })
    check = Option.Boolean('--check', false, { description: 'check the settings and exit' })

    constructor () {
      super()
      // Options are generated from the schema, so that flags always match the settings.
      for (const name of names) {
        const description = program.settings.shape[name] instanceof Object ? settingDescription(program, name) : ''
        Reflect.set(this, name, Option.String(flagName(name), { env: environmentVariableName(name), description }))
      }
    }

    override async execute (): Promise<number> {
      const given = Object.fromEntries(names.map(name => [name, Reflect.get(this, name)]))
      const parsed = program.settings.safeParse(given, { reportInput: true })
      if (!parsed.success) {
        const errors = describeSettingErrors(parsed.error.issues).map(({ flag, variable, message }) => `${flag} (${variable}) ${message}`)
        this.context.stderr.write(`${program.name}: ${errors.join('; ')}\n`)
        return EXIT_INVALID_SETTINGS
      }
      if (this.check) {
        this.context.stdout.write('settings are valid\n')
        return 0
      }
      return await supervise(program, parsed.data, signals)
    }
  }
}

function settingDescription<Settings extends CommonSettings> (program: DaemonProgram<Settings>, name: string): string {
  const setting = program.settings.shape[name]
  return setting !== undefined && 'description' in setting ? String(setting.description ?? '') : ''
}

function usageDetails<Settings extends CommonSettings> (program: DaemonProgram<Settings>): string {
  const lines = Object.keys(program.settings.shape)
    .map(name => `- \`${flagName(name)}\` (\`${environmentVariableName(name)}\`): ${settingDescription(program, name)}`)
  return `Settings, each a flag or an environment variable:\n\n${lines.join('\n\n')}`
}

async function supervise<Settings extends CommonSettings> (program: DaemonProgram<Settings>, settings: Settings, signals: ProcessSignals): Promise<number> {
  const telemetry = new Telemetry(program.name, settings)
  const violations = telemetry.labelledCounter('invariant_violations_total', 'Broken invariants; the process stops at the first', 'invariant')
  const started: { daemon?: RunningDaemon } = {}
  const held = (): HeldParts => started.daemon?.held?.() ?? {}
  const fail = (error: unknown): never => {
    const invariant = error instanceof InvariantViolation ? error.invariant : 'unexpected-error'
    violations.count(invariant)
    const { requests } = held()
    telemetry.logFault('fatal', {
      invariant,
      message: String(error),
      exitCode: EXIT_FATAL,
      uptimeMs: Math.round(performance.now()),
      residentBytes: process.memoryUsage.rss(),
      ...(requests === undefined ? {} : { requests })
    })
    process.stderr.write(`${program.name}: ${error instanceof Error ? error.stack ?? error.message : String(error)}\n`)
    telemetry.flushSync()
    process.exit(EXIT_FATAL)
  }
  process.on('uncaughtException', fail)
  process.on('unhandledRejection', fail)
  const loopDelay = monitorEventLoopDelay({ resolution: LOOP_DELAY_RESOLUTION_MS })
  loopDelay.enable()
  telemetry.gauge('event_loop_delay_seconds', '99th percentile of event loop delay since the last reading', () => {
    // The histogram records the time between two samples, which includes the sampling interval.
    const seconds = loopDelay.percentile(99) / 1e9 - LOOP_DELAY_RESOLUTION_MS / 1000
    loopDelay.reset()
    return Number.isFinite(seconds) ? Math.max(0, seconds) : 0
  })
  const memoryLimitBytes = settings.memoryMb * BYTES_PER_MEGABYTE
  exportMemoryMetrics(telemetry, memoryLimitBytes)
  const residentBytes = (): number => process.memoryUsage.rss()
  const guard = new MemoryGuard(memoryLimitBytes, { residentBytes, breakdown: readMemoryBreakdown, held, collect: collectGarbage, now: () => performance.now() }, telemetry)
  guard.start()
  let isDraining = false
  const running = await program.start(settings, telemetry, fail, new StartWaits(telemetry, signals), guard)
    .catch((error: unknown) => error instanceof StartStopped ? undefined : fail(error))
  if (running === undefined) {
    telemetry.logStateChange('stopped')
    telemetry.flushSync()
    return 0
  }
  started.daemon = running
  const admin = await startAdminServer(settings.host, settings.adminPort, telemetry, () => !isDraining && running.isReady()).catch(fail)
  const addresses = { ...running.addresses, admin: `${settings.host}:${admin.port}` }
  process.stdout.write(`${JSON.stringify({ event: 'listening', program: program.name, ...addresses })}\n`)
  telemetry.logStateChange('started', { ...addresses, memoryLimitBytes, heapLimitBytes: heapLimitBytes(), residentBytes: residentBytes() })
  signals.onForcedExit(() => { telemetry.flushSync() })
  signals.onReload(() => {
    telemetry.logStateChange('reloading')
    running.reload?.()
  })
  const signalledAt = await signals.stopReceived()
  isDraining = true
  running.stopping?.(signalledAt)
  telemetry.logStateChange('draining')
  await running.drain()
  telemetry.logStateChange('stopped')
  await running.close()
  guard.stop()
  await admin.close()
  await telemetry.flush(LOG_FLUSH_TIMEOUT_MS)
  telemetry.flushSync()
  return 0
}
