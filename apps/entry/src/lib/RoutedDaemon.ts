/** Wires up the components of an entry host for routed requests. */
import { z } from 'zod'
import type { EarlyListener } from '@eelgrassmux/daemon/EarlyListener'
import { listenWhenFree } from '@eelgrassmux/daemon/listenWhenFree'
import type { RunningDaemon } from '@eelgrassmux/daemon/runDaemon'
import type { StartWaits } from '@eelgrassmux/daemon/StartWaits'
import { entryMemoryBudget } from '@eelgrassmux/daemon/MemoryBudget'
import { AMPLE_MEMORY, type MemoryLevel } from '@eelgrassmux/daemon/MemoryGuard'
import { openFilesLimit } from '@eelgrassmux/daemon/openFilesLimit'
import { WorkGate } from '@eelgrassmux/daemon/WorkGate'
import { dataCentresSetting } from '@eelgrassmux/daemon/dataCentresSetting'
import { addressListSetting, booleanSetting, durationLimitSetting, commonSettingsShape, integerSetting, listSetting, stopGraceSetting } from '@eelgrassmux/daemon/settings'
import { LoadFeatures, loadFeatureChoiceSchema } from '@eelgrassmux/routing/features/LoadFeatures'
import { composeMechanisms, mechanismSchema } from '@eelgrassmux/routing/mechanisms/mechanisms'
import { OutdatedWeightsDeadlines } from '@eelgrassmux/routing/prompts/OutdatedWeightsDeadlines'
import { DatagramClient } from '@eelgrassmux/rpc/datagrams/DatagramClient'
import { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import type { Site } from '@eelgrassmux/schema/site/siteSchema'
import { reportSilentConnections } from '@eelgrassmux/telemetry/reportSilentConnections'
import type { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { ControlLink } from '@eelgrassmux/view/ControlLink'
import { WaitingExchange } from './waiting/WaitingExchange.js'
import { LoadExchange } from './load/LoadExchange.js'
import { GracefulShutdown } from './GracefulShutdown.js'
import { CrashReporter } from './quarantine/CrashReporter.js'
import { RequestQuarantine } from './quarantine/RequestQuarantine.js'
import { RelayDirectoryClient } from './relays/RelayDirectoryClient.js'
import { RelayHosts } from './relays/RelayHosts.js'
import { RelayTicketChecks } from './relays/RelayTicketChecks.js'
import { RetryExchange } from './retries/RetryExchange.js'
import type { EngineReservations } from './routed/EngineReservations.js'
import type { RequestCodec } from './routed/RequestCodec.js'
import { RoutedFleet } from './routed/RoutedFleet.js'
import { CallerConnections, callerConnectionsBound } from './routed/CallerConnections.js'
import { RequestBodies, requestBodyBounds } from './routed/RequestBodies.js'
import { ResponseMemory, responseMemoryBounds } from './routed/ResponseMemory.js'
import { RoutedServer } from './routed/RoutedServer.js'
import { slowReaderBounds, SlowReaders } from './routed/SlowReaders.js'
import { StreamDirectoryClient } from './streams/StreamDirectoryClient.js'

/** Settings of an entry host for routed requests. */
export const routedSettingsShape = {
  ...commonSettingsShape,
  port: integerSetting(0, 65535).default(0).describe('port for callers; 0 takes a free one'),
  control: addressListSetting.describe('control hosts, separated by commas'),
  freshnessMs: integerSetting(500, 60_000).default(3000).describe('how long a confirmed configuration may be acted on, in milliseconds'),
  staleView: z.enum(['refuse', 'serve']).default('refuse').describe('what to do when no majority of control hosts confirms the configuration: refuse new work, or go on with the last one that a majority has confirmed since this process started'),
  balancerLagMs: integerSetting(0, 60_000).default(1000).describe('how long the balancer may send new work after readiness is withdrawn, in milliseconds'),
  stopGraceSeconds: stopGraceSetting,
  weightsBoundMs: durationLimitSetting.describe('time after weights were named from which no request may begin on older ones, in milliseconds; without bound if empty'),
  dataCentres: dataCentresSetting.describe('data centres with the region of each, as a JSON object; needed where routes or customers are bound to regions'),
  leaveOut: listSetting(mechanismSchema).describe('mechanisms to do without, separated by commas, to measure what they are worth; none in service'),
  loadFeatures: listSetting(loadFeatureChoiceSchema).describe('features for hard load, separated by commas; auto for all of them where callers compete or engines share their machines'),
  competingCallers: booleanSetting.default(false).describe('whether callers are known to compete for too little room at times'),
  retryRatio: z.coerce.number().min(0).max(1).default(0.1).describe('repeats for each request of a service, over all entry hosts'),
  retrySlack: z.coerce.number().min(0).max(100_000).default(20).describe('repeats on top, in any window of some seconds, over all entry hosts')
}

/** Validated settings of an entry host for routed requests. */
export type RoutedSettings = z.infer<z.ZodObject<typeof routedSettingsShape>>

/** Platform-specific parts of an entry host. */
export interface RoutedPlatform {
  readonly codec: RequestCodec
  /** Reservations at engines; absent if the engines grant none. */
  readonly reservations?: EngineReservations
  /** Listener on the callers' port, if it was opened before the program was loaded. */
  readonly earlyListener?: EarlyListener | undefined
  /** Returns the current addresses of control hosts; absent if the settings name them for good. */
  contacts? (): readonly string[]
  /** Closes the platform's clients. */
  close? (): Promise<void>
  /** Opens the other servers that the platform calls on an entry host; does not wait for ports that are taken. */
  openPlatformServers (isReady: () => boolean): Promise<{ close (): Promise<void> }>
}

const MILLISECONDS_PER_SECOND = 1000

/** Event-loop lag above which callers may have disconnected unnoticed, in milliseconds; the usual lag is a few milliseconds. */
const EVENT_LOOP_LAG_LIMIT_MS = 40

/**
 * Starts an entry host for routed requests.
 *
 * @param settings - validated settings
 * @param telemetry - log and metrics
 * @param waits - waits for ports that are taken
 * @param platform - codec and servers of the platform
 * @param memory - says when work that takes memory has to be refused
 */
export async function startRoutedDaemon (
  settings: RoutedSettings, telemetry: Telemetry, waits: StartWaits, platform: RoutedPlatform, memory: MemoryLevel = AMPLE_MEMORY
): Promise<RunningDaemon> {
  const work = new WorkGate()
  const stop = new GracefulShutdown(work, {
    balancerLagMs: settings.balancerLagMs,
    graceMs: settings.stopGraceSeconds * MILLISECONDS_PER_SECOND
  }, telemetry)
  const rpc = new RpcClient({ onSilentConnection: reportSilentConnections(telemetry) })
  const datagramOutcomes = telemetry.labelledCounter('datagrams_total', 'Datagrams to and from control hosts by outcome', 'outcome')
  const datagrams = new DatagramClient(outcome => { datagramOutcomes.count(outcome) })
  await listenWhenFree(waits, `address ${settings.host}`, async () => { await datagrams.bind(settings.host) })
  const address = `${settings.host}:${settings.port}`
  /** Address at which callers and other hosts reach this host; known for certain once it listens. */
  let listenAddress = address
  const features = new LoadFeatures(settings.loadFeatures, settings.competingCallers)
  const link = new ControlLink({
    host: address,
    role: 'entry',
    get address () { return listenAddress },
    dataCentre: settings.dataCentre,
    get controlAddresses () { return platform.contacts?.() ?? settings.control },
    freshnessMs: settings.freshnessMs,
    watchesEndpoints: true,
    telemetry,
    loadFeatures: () => features.enabled.length === 0 ? undefined : { names: [...features.enabled], reason: features.reason }
  }, rpc, datagrams)
  const mechanisms = composeMechanisms(new Set(settings.leaveOut))
  const liveHosts = (): number => link.liveEntries
  const logFeatures = (): void => { telemetry.logStateChange('load-features', { features: features.enabled.join(' '), reason: features.reason }) }
  features.onChange(logFeatures)
  if (features.enabled.length > 0) logFeatures()
  const responseMemory = responseMemoryBounds(settings.memoryMb)
  const fleet = new RoutedFleet(settings.dataCentre, liveHosts, telemetry, mechanisms, address, features, entryMemoryBudget(settings.memoryMb).mostOfResponses.waiting)
  const stored = link.followStoredParts({
    reset: () => { fleet.storedParts.clear() },
    apply: change => { fleet.storedParts.apply(change) }
  })
  const loads = new LoadExchange(address, {
    datagrams,
    aggregatorAddress: () => link.leader,
    liveHosts: () => link.liveEntries,
    ownWork: () => fleet.ownWork(),
    others: fleet.otherHostsLoad,
    onAnswer: () => {
      fleet.applyObservations()
      server.releaseWaiting()
    }
  }, telemetry)
  const waiting = new WaitingExchange(address, {
    datagrams,
    features,
    leader: () => link.leader,
    withRecentLoad: place => { loads.beforePlacing(place) }
  }, telemetry)
  fleet.onWorkChange((change, service) => {
    if (change === 'sent') loads.noteSend()
    else loads.noteChange(features.isEnabled('waiting-order') && (waiting.isContended(service) || fleet.isPlain(service)))
  })
  loads.start()
  const mayAct = (): boolean => settings.staleView === 'serve' ? link.site !== undefined && link.wasConfirmed : link.isReady()
  const crashReporter = new CrashReporter(address, { rpc, leader: () => link.leader, telemetry })
  const quarantine = new RequestQuarantine(link.quarantine, crashReporter, telemetry)
  const budget = { ratio: settings.retryRatio, slack: settings.retrySlack }
  const retries = new RetryExchange(address, { datagrams, leader: () => link.leader }, budget, telemetry)
  const relayDirectory = new RelayDirectoryClient(() => listenAddress, { rpc, leader: () => link.leader })
  const relayHosts = new RelayHosts(relayDirectory, fleet.readSlices)
  const streams = new StreamDirectoryClient(address, { datagrams, controlHosts: () => link.controlHosts, listAgeMs: now => link.endpointListAgeMs(now) }, telemetry)
  const olderWeights = new OutdatedWeightsDeadlines(settings.weightsBoundMs)
  const unfinishedResponses = new ResponseMemory(responseMemory, telemetry)
  const slowReaders = new SlowReaders(features, slowReaderBounds(settings.memoryMb, () => unfinishedResponses.totalBytes + fleet.readSlices.unreadBytes), telemetry)
  const requestBodies = new RequestBodies(requestBodyBounds(settings.memoryMb), telemetry)
  const server = new RoutedServer({
    responseMemory: unfinishedResponses,
    slowReaders,
    memory,
    connections: new CallerConnections(callerConnectionsBound(settings.memoryMb, openFilesLimit()), telemetry),
    requestBodies,
    waiting,
    relays: { hosts: relayHosts, tickets: new RelayTicketChecks(relayDirectory) },
    reservations: platform.reservations,
    streams,
    fleet,
    codec: platform.codec,
    work,
    stop,
    telemetry,
    quarantine,
    regions: new Map(Object.entries(settings.dataCentres)),
    budget,
    sharedRetryTokens: service => retries.tokensOf(service),
    liveHosts: () => link.liveEntries,
    remainingMsForVersion: (model, version) => olderWeights.remainingMs(model, version, performance.now()),
    desiredVersion: model => link.weights.find(named => named.model === model)?.version ?? 1,
    isSiteUsable: mayAct,
    viewLag: () => link.viewLag(),
    // Without a current confirmation from the control hosts, stored parts may have been freed already.
    areStoresUsable: now => mechanisms.usesStores && stored.isLeaseValid(now),
    storeClockMs: now => stored.storeClockMs(now),
    withRecentLoad: place => { loads.beforePlacing(place) },
    isLagging: () => link.eventLoopLagMs > EVENT_LOOP_LAG_LIMIT_MS
  }, mechanisms.waitsForSite ? 0 : Number.NEGATIVE_INFINITY)
  const port = await listenWhenFree(waits, `callers' port ${address}`, async () => await server.listen(settings.host, settings.port, platform.earlyListener))
  listenAddress = `${settings.host}:${port}`
  const isReady = (): boolean => !stop.isStopping && server.isConfigured && fleet.hasEndpoints && mayAct()
  const platformServers = await platform.openPlatformServers(isReady)

  let siteVersion = -1
  const applySite = (site: Site | undefined): void => {
    if (site === undefined || site.version === siteVersion) return
    siteVersion = site.version
    server.configure(site)
    fleet.configure(site)
    telemetry.logStateChange('site-in-force', { version: site.version, routes: site.routes.length, view: link.viewRevision })
  }
  link.onLeaderChange(() => {
    crashReporter.leaderChanged()
    waiting.leaderChanged()
    retries.leaderChanged()
  })
  link.onChange(() => {
    olderWeights.observe(link.weights, performance.now())
    quarantine.logChanges(link.viewRevision, performance.now())
    fleet.update(link.endpoints)
    fleet.limits.evacuate(link.evacuated, performance.now())
    applySite(link.site)
    if (link.site !== undefined) streams.observe(link.site, link.endpoints)
    server.releaseWaiting()
  })
  link.start()
  telemetry.gauge('load_features_enabled', 'Features for hard load in use', () => features.enabled.length)
  telemetry.gauge('site_version', 'Site in force', () => siteVersion)
  telemetry.gauge('view_revision', 'View in force', () => link.viewRevision)
  telemetry.gauge('configuration_fresh', '1 while the configuration is confirmed', () => link.isFresh() ? 1 : 0)
  telemetry.gauge('endpoint_list_age_seconds', 'Time since the platform stated the endpoint list', () => link.endpointListAgeMs(performance.now()) / 1000)
  telemetry.gauge('requests_under_way', 'Routed requests that have not ended', () => work.activeCount)

  return {
    addresses: { http: `${settings.host}:${port}` },
    isReady,
    held: () => ({
      connections: server.openConnections,
      requests: work.activeCount,
      requestBodyBytes: requestBodies.totalBytes,
      unfinishedResponseBytes: unfinishedResponses.totalBytes,
      slowReaderBytes: slowReaders.totalBytes + slowReaders.waitingBytes
    }),
    stopping: signalledAt => { stop.begin(signalledAt, server) },
    drain: async () => {
      link.stopAccepting()
      await stop.drain(server)
    },
    close: async () => {
      await server.close()
      link.stop()
      loads.stop()
      retries.stop()
      waiting.stop()
      crashReporter.stop()
      relayHosts.close()
      streams.stop()
      await platformServers.close()
      await platform.close?.()
      rpc.close()
      datagrams.close()
    }
  }
}
