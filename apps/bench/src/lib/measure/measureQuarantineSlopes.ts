/** Measures the cost of detecting and quarantining requests that crash endpoints. */
import { randomBytes } from 'node:crypto'
import { quarantineMessage } from '@eelgrassmux/control/quarantine/quarantineMessage'
import { CrashEvidence } from '@eelgrassmux/routing/quarantine/CrashEvidence'
import { CrashCorrelator } from '@eelgrassmux/routing/quarantine/CrashCorrelator'
import { MAX_REPORTS_PER_HOST } from '@eelgrassmux/routing/quarantine/crashReport'
import { requestFingerprint } from '@eelgrassmux/routing/quarantine/requestFingerprint'
import { encodeMessage } from '@eelgrassmux/rpc/RpcMethod'
import type { QuarantineEntry } from '@eelgrassmux/schema/quarantineEntry'
import { QuarantineRegistry } from '@eelgrassmux/state/QuarantineRegistry'
import type { Point } from './fit.js'
import { measureHeap } from './measureHeap.js'
import { slopeReport } from './slopeReport.js'

/** Requests running on each endpoint that crashes; the correlator keeps at most this many. */
const REQUESTS_PER_CRASH = 256

/** Repetitions of work that is too short to be timed once. */
const REPEATS = 200

/** Every how many losses a repeated request is lost, and the range that the fingerprints of these requests are taken from. */
const REPEAT_INTERVAL = 20
const REPEATED_FINGERPRINT_RANGE = 640

/** Interval between crashes, in milliseconds, so that the correlator counts each one separately. */
const CRASH_INTERVAL_MS = 1000

/** @param print - prints a line of the report */
export function measureQuarantineSlopes (print: (line: string) => void): void {
  const report = slopeReport(print)
  const sizes = [2000, 8000, 32_000]
  report('memory of a reported loss on the leader', 'bytes', measureHeap(sizes, size => ({ correlator: buildCorrelator(size) })))
  report('memory of a loss on an entry host', 'bytes', measureHeap([64, 128, MAX_REPORTS_PER_HOST], size => ({ evidence: buildEvidence(size) })))
  report('memory of an entry', 'bytes', measureHeap([100, 300, 500], size => ({ register: buildRegister(size) })))
  report('processor time of a reported loss on the leader', 'seconds', timeWork(sizes, size => { buildCorrelator(size) }))
  report('processor time of a look of the leader, for each loss that it holds', 'seconds', sizes.map(size => timeDecision(size)))
  report('processor time of a fingerprint, for each byte of the body', 'seconds', timeWork([1000, 10_000, 100_000], size => {
    const body = Buffer.alloc(size)
    for (let count = 0; count < REPEATS; count += 1) requestFingerprint({ customer: 'ward', method: 'POST', target: '/a', body })
  }).map(({ size, value }) => ({ size, value: value / REPEATS })))
  const losses = buildEvidence(MAX_REPORTS_PER_HOST).reports(0)
  print(`size of the largest report of losses: ${encodeMessage({ host: '10.0.0.1:7400', losses, completed: [] }).length} bytes, of one with 8: ${encodeMessage({ host: '10.0.0.1:7400', losses: losses.slice(0, 8), completed: [] }).length}`)
  const register = buildRegister(500)
  print(`size of 500 entries in a view: ${encodeMessage(quarantineMessage(register, undefined, 0)).length} bytes, of one: ${encodeMessage(quarantineMessage(register, [fingerprintOf(1)], 0)).length}`)
}

function fingerprintOf (number: number): string {
  return number.toString(16).padStart(32, '0')
}

/** Returns a new string each time, because decoded messages do not share strings either. */
function randomFingerprint (): string {
  return randomBytes(16).toString('hex')
}

function buildCorrelator (size: number): CrashCorrelator {
  const correlator = new CrashCorrelator()
  for (let loss = 0; loss < size; loss += 1) {
    const crash = Math.floor(loss / REQUESTS_PER_CRASH)
    // One loss in twenty is of a repeated request, which was lost before.
    const fingerprint = loss % REPEAT_INTERVAL === 0 ? fingerprintOf(loss % REPEATED_FINGERPRINT_RANGE) : randomFingerprint()
    correlator.observe({ fingerprint, service: 'pool', endpoint: `i-${crash.toString(16).padStart(10, '0')}`, agoMs: 0, ranMs: 100 }, crash * CRASH_INTERVAL_MS)
  }
  return correlator
}

function buildEvidence (size: number): CrashEvidence {
  const evidence = new CrashEvidence()
  for (let loss = 0; loss < size; loss += 1) evidence.record({ fingerprint: randomFingerprint(), service: 'pool', endpoint: 'i-0123456789', ranMs: 123.456 }, 0)
  return evidence
}

function buildRegister (size: number): QuarantineRegistry {
  const register = new QuarantineRegistry()
  register.restore(Array.from({ length: size }, (_, number): QuarantineEntry =>
    ({ fingerprint: fingerprintOf(number), service: 'model-pool', state: 'quarantined', endsAt: 1_790_000_000_000 + number, quarantines: 1 })))
  return register
}

function timeDecision (size: number): Point {
  const correlator = buildCorrelator(size)
  const agreed = new QuarantineRegistry()
  for (const endpoint of correlator.unconfirmedCrashes(agreed)) correlator.recordCrashCheck(endpoint, true, 0)
  const now = size / REQUESTS_PER_CRASH * CRASH_INTERVAL_MS
  const startedAt = performance.now()
  const repetitions = 10
  for (let repetition = 0; repetition < repetitions; repetition += 1) {
    correlator.unconfirmedCrashes(agreed)
    correlator.decide(agreed, now)
  }
  return { size, value: (performance.now() - startedAt) / repetitions / 1000 }
}

function timeWork (sizes: readonly number[], work: (size: number) => void): Point[] {
  return sizes.map(size => {
    // Warms up the code, so that compiled code is measured.
    work(size)
    const startedAt = performance.now()
    work(size)
    return { size, value: (performance.now() - startedAt) / 1000 }
  })
}
