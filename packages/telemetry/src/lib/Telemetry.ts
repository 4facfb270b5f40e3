/** Metrics registry and structured log of one process. */
import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client'
import { ROARR, Roarr } from 'roarr'
import { BoundedLogWriter } from './BoundedLogWriter.js'
import { describeDroppedLines } from './describeDroppedLines.js'
import type { ChangeEvent, ChangeFields, DecisionEvent, DecisionFields, FaultEvent, FaultFields, FieldArguments, RequestFields } from './events/eventFields.js'
import { RequestLogLimiter } from './RequestLogLimiter.js'

/** Counter with one label. */
export interface LabelledCounter {
  /** @param label - value of the counter's only label */
  count (label: string, amount?: number): void
}

/** Limits on log lines about requests. */
export interface RequestLogLimits {
  /** Sampling rate of requests that succeed: one in this many is logged. */
  readonly keptStories: number
  /** Maximum number of lines about requests per second. */
  readonly logLinesPerSecond: number
}

const DEFAULT_REQUEST_LOG_LIMITS: RequestLogLimits = { keptStories: 64, logLinesPerSecond: 200 }

/**
 * Interval that disables the event loop sampling of the metrics library, in milliseconds. By default the
 * library wakes the process a hundred times a second; daemons have a metric of their own that wakes it four times.
 */
const NEVER_MS = 2 ** 31 - 1

/** Names of the metrics that are based on the disabled samples. */
const SAMPLED_LOOP_LAG = /^nodejs_eventloop_lag_(?!seconds$)/

/** Events that are also logged for requests without a failure. */
const ORDINARY_EVENTS: ReadonlySet<DecisionEvent> = new Set<DecisionEvent>(['answered', 'waits-for-room', 'waits-for-site', 'waiting-decided'])

/** Metrics and log of one process, both labelled with the name of its program. */
export class Telemetry {
  readonly registry = new Registry()
  readonly #log
  readonly #writer: BoundedLogWriter
  readonly #requestLogLimiter: RequestLogLimiter

  /**
   * @param program - name of the binary, such as `eelgrassmux-entry`
   * @param limits - limits on log lines about requests
   */
  constructor (readonly program: string, private readonly limits: RequestLogLimits = DEFAULT_REQUEST_LOG_LIMITS) {
    this.registry.setDefaultLabels({ program })
    collectDefaultMetrics({ register: this.registry, eventLoopMonitoringPrecision: NEVER_MS })
    for (const name of this.registry.getMetricsAsArray().map(metric => metric.name)) {
      if (SAMPLED_LOOP_LAG.test(name)) this.registry.removeSingleMetric(name)
    }
    this.#log = Roarr.child({ program })
    this.#writer = new BoundedLogWriter(undefined, count => describeDroppedLines(program, count))
    ROARR.write = message => { this.#writer.write(message) }
    this.#requestLogLimiter = new RequestLogLimiter(limits.logLinesPerSecond, count => { this.logStateChange('request-lines-left-out', { count }) })
    this.gauge('request_lines_left_out', 'Lines about requests beyond the most in a second', () => this.#requestLogLimiter.omittedCount)
    this.gauge('log_lines_dropped', 'Log lines dropped because nobody read them', () => this.#writer.dropped)
  }

  /**
   * Creates a counter with one label.
   *
   * @param name - metric name without the product's prefix
   * @param help - description of the counter
   * @param labelName - name of the label
   * @returns the counter
   */
  labelledCounter (name: string, help: string, labelName = 'reason'): LabelledCounter {
    // Amounts are summed here and passed to the library when metrics are collected, since it looks up the labels on each increment.
    const pending = new Map<string, number>()
    this.registry.registerMetric(new Counter({
      name: `eelgrassmux_${name}`,
      help,
      labelNames: [labelName],
      registers: [],
      collect () {
        for (const [label, amount] of pending) this.inc({ [labelName]: label }, amount)
        pending.clear()
      }
    }))
    return { count: (label, amount = 1) => { pending.set(label, (pending.get(label) ?? 0) + amount) } }
  }

  /**
   * Creates a gauge that is read when metrics are collected.
   *
   * @param name - metric name without the product's prefix
   * @param help - description of the gauge
   * @param read - returns the current value
   */
  gauge (name: string, help: string, read: () => number): void {
    const gauge = new Gauge({
      name: `eelgrassmux_${name}`, help, registers: [this.registry], collect () { this.set(read()) }
    })
    gauge.set(0)
  }

  /**
   * Creates a histogram of durations.
   *
   * @param name - metric name without the product's prefix
   * @param help - description of the duration
   * @param buckets - upper bounds of the buckets, in seconds
   * @returns a function that records one duration in milliseconds
   */
  durationHistogram (name: string, help: string, buckets: number[]): (milliseconds: number) => void {
    const histogram = new Histogram({ name: `eelgrassmux_${name}`, help, buckets, registers: [this.registry] })
    return milliseconds => { histogram.observe(milliseconds / 1000) }
  }

  /**
   * Decides whether a request that succeeds is logged. The decision depends only on the request id, so that
   * all processes log the same requests and the trace of each logged request is complete.
   *
   * @param requestId - request id that the caller has set
   */
  isSampled (requestId: string): boolean {
    let hash = 0
    for (let at = 0; at < requestId.length; at += 1) hash = (Math.imul(hash, 31) + requestId.charCodeAt(at)) | 0
    return (hash >>> 0) % this.limits.keptStories === 0
  }

  /**
   * Logs a decision about a request.
   *
   * @param event - name of the decision in the catalogue
   * @param requestId - request id that the caller has set for this attempt
   * @param fields - inputs of the decision, their age or version, and the outcome
   */
  logDecision<Event extends DecisionEvent> (event: Event, requestId: string, fields: DecisionFields<Event> & RequestFields): void {
    if (!this.#requestLogLimiter.admits(ORDINARY_EVENTS.has(event), performance.now())) return
    this.#log.info({ event, request: requestId, ...fields }, event)
  }

  /**
   * Logs a change of the process's state, including its view of other parts of the system.
   *
   * @param event - name of the change in the catalogue
   * @param fields - values that explain the change
   */
  logStateChange<Event extends ChangeEvent> (event: Event, ...[fields]: FieldArguments<ChangeFields<Event>>): void {
    this.#log.info({ event, ...fields }, event)
  }

  /**
   * Writes the buffered lines before the process ends.
   *
   * @param limitMs - longest wait until the lines are written, in milliseconds
   */
  async flush (limitMs: number): Promise<void> {
    await this.#writer.flush(limitMs)
  }

  /**
   * Logs a fault that an operator should investigate.
   *
   * @param event - name of the fault in the catalogue
   * @param fields - values that explain the fault
   */
  logFault<Event extends FaultEvent> (event: Event, ...[fields]: FieldArguments<FaultFields<Event>>): void {
    this.#log.error({ event, ...fields }, event)
  }

  /** Writes the last lines without waiting; must be called right before the process exits. */
  flushSync (): void {
    this.#requestLogLimiter.reportNow()
    this.#writer.flushSync()
  }
}
