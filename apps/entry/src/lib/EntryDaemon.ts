/** Wires up the components of an entry host. */
import { z } from 'zod'
import type { DaemonProgram, RunningDaemon } from '@eelgrassmux/daemon/runDaemon'
import { SystemClock } from '@eelgrassmux/daemon/SystemClock'
import { WorkGate } from '@eelgrassmux/daemon/WorkGate'
import { addressListSetting, addressSetting, commonSettingsShape, integerSetting, stopGraceSetting } from '@eelgrassmux/daemon/settings'
import { PLACEMENT_POLICIES, usesStores } from '@eelgrassmux/policy/placement/createPlacementPolicy'
import { DatagramClient } from '@eelgrassmux/rpc/datagrams/DatagramClient'
import { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import { RpcServer } from '@eelgrassmux/rpc/RpcServer'
import { reportSilentConnections } from '@eelgrassmux/telemetry/reportSilentConnections'
import type { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { ControlLink } from '@eelgrassmux/view/ControlLink'
import { CallerServer } from './callers/CallerServer.js'
import { CompletionHandler } from './callers/CompletionHandler.js'
import { DispatchNotices } from './fleet/DispatchNotices.js'
import { FleetWatcher } from './fleet/FleetWatcher.js'
import { AtMostOnceExecutor } from './plain/AtMostOnceExecutor.js'
import { PlainHandler } from './plain/PlainHandler.js'
import { GracefulShutdown, type DrainableServer } from './GracefulShutdown.js'
import { CallQuarantine } from './quarantine/CallQuarantine.js'
import { CrashReporter } from './quarantine/CrashReporter.js'
import { RequestQuarantine } from './quarantine/RequestQuarantine.js'
import { AdmissionGate } from './runs/AdmissionGate.js'
import { DirectoryClient } from './runs/DirectoryClient.js'
import { Exporter } from './runs/Exporter.js'
import { ExportPacer } from './runs/ExportPacer.js'
import { Importer } from './runs/Importer.js'
import { PeerRuns, servePeerRuns } from './runs/PeerRuns.js'
import { Placer } from './runs/Placer.js'
import { RunManager } from './runs/RunManager.js'

const settingsSchema = z.object({
  ...commonSettingsShape,
  port: integerSetting(0, 65535).default(0).describe('port for callers; 0 takes a free one'),
  peerPort: integerSetting(0, 65535).default(0).describe('port for other entry hosts; 0 takes a free one'),
  control: addressListSetting.describe('control hosts, separated by commas'),
  membership: addressSetting.optional().describe('address of the membership list of the platform'),
  freshnessMs: integerSetting(500, 60_000).default(3000).describe('how long a confirmed configuration may be acted on, in milliseconds'),
  resumeGraceMs: integerSetting(0, 600_000).default(10_000).describe('how long a run goes on, or is kept, without a reader, in milliseconds'),
  balancerLagMs: integerSetting(0, 60_000).default(1000).describe('how long the balancer may send new work after readiness is withdrawn, in milliseconds'),
  stopGraceSeconds: stopGraceSetting,
  recordWindowHours: integerSetting(1, 24 * 365).default(24).describe('how long idempotency keys are remembered, in hours; as on the control hosts'),
  queueLimit: integerSetting(0, 100_000).default(1000).describe('most requests that wait for admission'),
  policy: z.enum(PLACEMENT_POLICIES).default('eelgrassmux').describe(`placement policy: ${PLACEMENT_POLICIES.join(', ')}`)
})

/** @internal */
type EntrySettings = z.infer<typeof settingsSchema>

/** Daemon program of an entry host. */
export const entryProgram: DaemonProgram<EntrySettings> = {
  name: 'eelgrassmux-entry',
  description: 'Takes callers\' requests, runs them on endpoints and answers',
  settings: settingsSchema,
  start: startEntry
}

/** Admission capacity before the fleet is known. */
const INITIAL_CAPACITY_TOKENS = 10_000

/** Requests admitted per engine slot; above 1 so that a freed slot finds the next request waiting. */
const OVERCOMMIT_FACTOR = 1.25

const MILLISECONDS_PER_SECOND = 1000

const CAPACITY_UPDATE_INTERVAL_MS = 250

const FIRST_TOKEN_BUCKETS_SECONDS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.44, 0.6, 1, 2, 5, 10]

async function startEntry (settings: EntrySettings, telemetry: Telemetry): Promise<RunningDaemon> {
  const clock = new SystemClock()
  const work = new WorkGate()
  const stop = new GracefulShutdown(work, {
    balancerLagMs: settings.balancerLagMs,
    graceMs: settings.stopGraceSeconds * MILLISECONDS_PER_SECOND
  }, telemetry)
  const rpc = new RpcClient({ onSilentConnection: reportSilentConnections(telemetry) })
  const datagrams = new DatagramClient()
  await datagrams.bind(settings.host)
  const peerServer = new RpcServer()
  const peerPort = await peerServer.listen(settings.host, settings.peerPort)
  const peerAddress = `${settings.host}:${peerPort}`
  const link = new ControlLink({
    host: peerAddress,
    role: 'entry',
    address: peerAddress,
    dataCentre: settings.dataCentre,
    controlAddresses: settings.control,
    freshnessMs: settings.freshnessMs,
    wantsPeers: true,
    telemetry
  }, rpc, datagrams)
  const configuration = (): typeof link.configuration => link.configuration
  const fleet = new FleetWatcher(settings.membership)
  const directory = new DirectoryClient(rpc, () => link.shards)
  const linkBytes = telemetry.labelledCounter('link_bytes_total', 'Bytes over store links by direction', 'direction')
  const retries = telemetry.labelledCounter('retries_total', 'Second attempts by reason')
  const keepDecisions = telemetry.labelledCounter('keep_decisions_total', 'Decisions and outcomes of exports by kind', 'decision')
  const placer = new Placer(clock, fleet, directory, configuration, settings.policy,
    telemetry.labelledCounter('lookup_failures_total', 'Directory look-ups without an answer'))
  const importer = new Importer(clock, directory, fleet.links, configuration,
    telemetry.labelledCounter('imports_total', 'Imports by outcome', 'outcome'), linkBytes)
  const pacer = new ExportPacer(clock, configuration, () => link.liveEntries)
  const storeExporter = new Exporter(clock, fleet, directory, pacer, configuration, work, keepDecisions, linkBytes)
  const notices = new DispatchNotices(clock, rpc, fleet.loads, () => link.entryPeers,
    telemetry.labelledCounter('dispatch_notices_total', 'Notices of dispatches among entry hosts by outcome', 'outcome'))
  notices.register(peerServer)
  // Exported blocks are useless to policies that never import.
  const exporter = usesStores(settings.policy) ? storeExporter : { exportIfWorthwhile: async () => {} }
  const gate = new AdmissionGate(INITIAL_CAPACITY_TOKENS, settings.queueLimit)
  const firstToken = telemetry.durationHistogram('first_token_seconds', 'Time to first token', FIRST_TOKEN_BUCKETS_SECONDS)
  const crashReporter = new CrashReporter(peerAddress, { rpc, leader: () => link.leader, telemetry })
  const requestQuarantine = new RequestQuarantine(link.quarantine, crashReporter, telemetry)
  const quarantine = new CallQuarantine(requestQuarantine, () => performance.now())
  const runs = new RunManager({ peerAddress, resumeGraceMs: settings.resumeGraceMs, firstToken }, gate, work, stop, quarantine, {
    clock,
    fleet,
    placer,
    importer,
    exporter,
    announceDispatch: (engine, tokens) => { notices.announce(engine, tokens) },
    retries,
    promptTokens: telemetry.labelledCounter('prompt_tokens_total', 'Prompt tokens computed and reused', 'kind')
  })
  servePeerRuns(peerServer, runs)
  const atMostOnce = new AtMostOnceExecutor({
    propose: async (command, deadlineMs) => await link.propose(command, deadlineMs),
    clock,
    work,
    outcomes: telemetry.labelledCounter('at_most_once_total', 'Calls with an idempotency key by outcome', 'outcome')
  })
  const plain = new PlainHandler(fleet, atMostOnce, configuration, retries, settings.recordWindowHours, stop, quarantine)
  const completions = new CompletionHandler(runs, new PeerRuns(rpc), configuration)
  const callers = new CallerServer(completions, plain, {
    configuration,
    isFresh: () => link.isReady(),
    isBehind: () => link.viewLag().viewsBehind > 0,
    work,
    stop,
    refusals: telemetry.labelledCounter('refusals_total', 'Refusals to callers by reason')
  })
  const port = await callers.listen(settings.host, settings.port)

  link.onLeaderChange(() => { crashReporter.leaderChanged() })
  link.onChange(() => {
    fleet.configure(link.configuration)
    fleet.evacuate(link.configuration, link.evacuated)
    requestQuarantine.logChanges(link.viewRevision, performance.now())
    telemetry.logStateChange('view-in-force', { view: link.viewRevision, revision: link.configuration.revision })
  })
  fleet.start()
  link.start()
  const capacityTimer = setInterval(() => { gate.setCapacity(capacityTokens(fleet, link, runs)) }, CAPACITY_UPDATE_INTERVAL_MS)
  telemetry.gauge('runs_under_way', 'Runs that have not ended', () => runs.underWay)
  telemetry.gauge('runs_kept', 'Runs kept for callers that come back', () => runs.kept)
  telemetry.gauge('admission_tokens_in_flight', 'Tokens held by admitted requests', () => gate.tokensInFlight)
  telemetry.gauge('admission_queued', 'Requests waiting for admission', () => gate.queued)
  telemetry.gauge('view_revision', 'View in force', () => link.viewRevision)
  telemetry.gauge('configuration_revision', 'Configuration in force', () => link.configuration.revision)
  telemetry.gauge('configuration_fresh', '1 while the configuration is confirmed', () => link.isFresh() ? 1 : 0)

  const logUnderWay = (event: 'awaited-by-stop' | 'cut-by-stop'): void => {
    runs.logUnderWay(id => { telemetry.logDecision(event, id, { sinceSignalMs: Math.round(stop.sinceSignalMs) }) })
  }
  const drainable: DrainableServer = {
    get lastRequestAt () { return callers.lastRequestAt },
    releaseWaiting: () => {},
    closeIdleConnections: () => { callers.closeIdleConnections() },
    logUnderWay: () => { logUnderWay('awaited-by-stop') },
    // No other host can continue a run, so the run goes on until the process exits and its caller sees an incomplete answer.
    cutUnderWay: () => { logUnderWay('cut-by-stop') }
  }

  return {
    addresses: { http: `${settings.host}:${port}`, peer: peerAddress },
    isReady: () => !stop.isStopping && link.isReady(),
    stopping: signalledAt => { stop.begin(signalledAt, drainable) },
    drain: async () => {
      link.stopAccepting()
      await stop.drain(drainable)
    },
    close: async () => {
      await callers.close()
      clearInterval(capacityTimer)
      link.stop()
      runs.stop()
      crashReporter.stop()
      gate.stop()
      await fleet.stop()
      peerServer.close()
      rpc.close()
      datagrams.close()
    }
  }
}

/** Returns this host's share of the engine slots, in tokens; the shares of all live hosts add up to the total. */
function capacityTokens (fleet: FleetWatcher, link: ControlLink, runs: RunManager): number {
  const now = performance.now()
  const slots = fleet.engineTable.eligible(now)
    .reduce((sum, engine) => sum + (fleet.loads.load(engine, now)?.maxRunning ?? 0), 0)
  if (slots === 0 || runs.meanRequestTokens === 0) return INITIAL_CAPACITY_TOKENS
  return slots * OVERCOMMIT_FACTOR * runs.meanRequestTokens / link.liveEntries
}
