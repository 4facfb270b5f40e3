/**
 * Imports stored blocks into an engine before a run.
 *
 * The objects are read under leases. A lease is timed from before its request was
 * sent. An import that ends after its lease is discarded and its blocks are
 * computed instead, because the store may have freed them in the meantime.
 */
import { randomUUID } from 'node:crypto'
import { TOKENS_PER_BLOCK } from '@eelgrassmux/cache/blockKeys'
import type { Clock } from '@eelgrassmux/schema/Clock'
import type { EngineBackend } from '@eelgrassmux/backends/EngineClient'
import type { ConfigurationIndex } from '@eelgrassmux/schema/ConfigurationIndex'
import type { LinkTable } from '@eelgrassmux/policy/health/LinkTable'
import type { LabelledCounter } from '@eelgrassmux/telemetry/Telemetry'
import type { Result } from '@eelgrassmux/schema/Result'
import type { DirectoryError, LeasesGranted } from './DirectoryClient.js'
import type { PlacedRun } from './Placer.js'

/** An import times out after its estimated duration times the factor, or after the time to compute its blocks if that is longer, plus the margin in milliseconds. */
const TIMEOUT_FACTOR = 2
const TIMEOUT_MARGIN_MS = 50

/** Grants leases on stored objects. */
export interface LeaseSource {
  lease (keys: readonly string[], fromBlock: number): Promise<Result<LeasesGranted, DirectoryError>>
}

/** Stages imports, and records their transfers to estimate the link speeds. */
export class Importer {
  /**
   * @param clock - time source
   * @param directory - grants leases
   * @param links - records each transfer
   * @param configuration - returns the configuration in force, with the store addresses
   * @param outcomes - counts imports by outcome
   * @param linkBytes - counts transferred bytes by direction
   */
  constructor (
    private readonly clock: Clock,
    private readonly directory: LeaseSource,
    private readonly links: LinkTable,
    private readonly configuration: () => ConfigurationIndex,
    private readonly outcomes: LabelledCounter,
    private readonly linkBytes: LabelledCounter
  ) {}

  /**
   * Stages the imports of a placement.
   *
   * @param engine - engine that will start the run
   * @param placed - placement of the run
   * @param signal - aborts the import
   * @returns import id to start the run with, or undefined if the blocks must be computed
   */
  async stage (engine: EngineBackend, placed: PlacedRun, signal: AbortSignal): Promise<string | undefined> {
    const { placement, keys, stored } = placed
    const first = placement.imports[0]
    if (first === undefined) return undefined
    const askedAt = this.clock.now()
    const position = stored.findIndex(({ object }) => object.name === first.name)
    const granted = await this.directory.lease(keys, stored[position - 1]?.coversTo ?? 0)
    if (!granted.ok) {
      this.outcomes.count('no-lease')
      return undefined
    }
    const wanted = new Set(placement.imports.map(candidate => candidate.name))
    const leases = granted.value.leases.filter(lease => wanted.has(lease.object.name))
    if (leases.length === 0) {
      this.outcomes.count('no-lease')
      return undefined
    }
    return await this.#transfer(engine, placed, leases, askedAt, signal)
  }

  async #transfer (
    engine: EngineBackend, placed: PlacedRun, leases: LeasesGranted['leases'], askedAt: number, signal: AbortSignal
  ): Promise<string | undefined> {
    const importId = randomUUID()
    const leaseEndsAt = askedAt + Math.min(...leases.map(lease => lease.durationMs))
    const { stores } = this.configuration()
    const objects = leases.map(({ object }) => ({
      storeAddress: stores.get(object.store)?.address ?? '',
      name: object.name,
      keys: object.keys,
      bytes: object.bytes,
      sha256: object.sha256
    }))
    const startedAt = this.clock.now()
    const timeoutMs = Math.min(leaseEndsAt - startedAt, this.#timeoutMs(placed))
    for (const { object } of leases) this.links.recordTransferStart(object.store, object.bytes)
    const staged = await engine.stageImport({ importId, objects }, Math.max(1, timeoutMs), AbortSignal.any([signal, AbortSignal.timeout(Math.max(1, Math.ceil(timeoutMs)))]))
    const endedAt = this.clock.now()
    this.#recordTransfers(placed, leases, endedAt - startedAt, staged.ok, endedAt)
    if (!staged.ok) {
      this.outcomes.count('failed')
      void engine.discardImport(importId)
      return undefined
    }
    this.linkBytes.count('import', staged.value.bytes)
    // The clock is compared with the lease here, because a frozen process could delay a timer.
    if (endedAt >= leaseEndsAt) {
      this.outcomes.count('lease-lapsed')
      void engine.discardImport(importId)
      return undefined
    }
    this.outcomes.count('staged')
    return importId
  }

  /** Returns the timeout, which is at least the time to compute the blocks; a failed import then costs little more than that time. */
  #timeoutMs ({ placement }: PlacedRun): number {
    const imported = placement.reusedBlocks - placement.engine.residentBlocks
    const computeMs = imported * TOKENS_PER_BLOCK / placement.engine.prefillTokensPerMs
    return Math.max(TIMEOUT_FACTOR * placement.importMs, computeMs) + TIMEOUT_MARGIN_MS
  }

  #recordTransfers (placed: PlacedRun, leases: LeasesGranted['leases'], elapsedMs: number, complete: boolean, now: number): void {
    const bytesByStore = new Map<string, number>()
    for (const { object } of leases) bytesByStore.set(object.store, (bytesByStore.get(object.store) ?? 0) + object.bytes)
    for (const [store, bytes] of bytesByStore) {
      const estimatedBacklog = Math.max(0, placed.placement.importMs * (this.links.views(now).get(store)?.bytesPerMs ?? 0) - bytes)
      // An incomplete transfer moved at most its size, so the sample overestimates the speed.
      this.links.recordTransferEnd(store, bytes + (complete ? estimatedBacklog : 0), elapsedMs, now)
    }
  }
}
