/** Metrics registry and state-change log of one process. */
import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client'
import { ROARR, Roarr } from 'roarr'
import { BoundedLogWriter } from './BoundedLogWriter.js'
import { describeDroppedLines } from './describeDroppedLines.js'
import type { ChangeEvent, ChangeFields, DecisionEvent, DecisionFields, FaultEvent, FaultFields, FieldArguments, RequestFields } from './events/eventFields.js'
import { RequestLineLimit } from './RequestLineLimit.js'

/** Counter with one label. */
export interface LabelledCounter {
  /** @param label - value of the counter's only label */
  count (label: string, amount?: number): void
}

/** How much of the story of requests the log takes. */
export interface StoryLimits {
  /** Of requests that go well, one in so many is logged. */
  readonly keptStories: number
  /** Most lines about requests in a second. */
  readonly logLinesPerSecond: number
}

const DEFAULT_STORY_LIMITS: StoryLimits = { keptStories: 64, logLinesPerSecond: 200 }

/**
 * The metrics library samples the event loop's lag by waking the process a hundred times a
 * second; daemons have a metric of their own that wakes it four times. In milliseconds.
 */
const NEVER_MS = 2 ** 31 - 1

/** Names of the metrics that those samples would be shown by. */
const SAMPLED_LOOP_LAG = /^nodejs_eventloop_lag_(?!seconds$)/

/** Lines that requests without failure have as well. */
const ORDINARY_EVENTS: ReadonlySet<DecisionEvent> = new Set<DecisionEvent>(['answered', 'waits-for-room', 'waits-for-site'])

/** Metrics and log of one process, both named after its program. */
export class Telemetry {
  readonly registry = new Registry()
  readonly #log
  readonly #writer: BoundedLogWriter
  readonly #requestLines: RequestLineLimit

  /**
   * @param program - name of the binary, such as `eelgrassmux-entry`
   * @param limits - how much of the story of requests the log takes
   */
  constructor (readonly program: string, private readonly limits: StoryLimits = DEFAULT_STORY_LIMITS) {
    this.registry.setDefaultLabels({ program })
    collectDefaultMetrics({ register: this.registry, eventLoopMonitoringPrecision: NEVER_MS })
    for (const name of this.registry.getMetricsAsArray().map(metric => metric.name)) {
      if (SAMPLED_LOOP_LAG.test(name)) this.registry.removeSingleMetric(name)
    }
    this.#log = Roarr.child({ program })
    this.#writer = new BoundedLogWriter(undefined, count => describeDroppedLines(program, count))
    ROARR.write = message => { this.#writer.write(message) }
    this.#requestLines = new RequestLineLimit(limits.logLinesPerSecond, count => { this.logStateChange('request-lines-left-out', { count }) })
    this.gauge('request_lines_left_out', 'Lines about requests beyond the most in a second', () => this.#requestLines.leftOut)
    this.gauge('log_lines_dropped', 'Log lines dropped because nobody read them', () => this.#writer.dropped)
  }

  /**
   * Creates a counter with one label.
   *
   * @param name - metric name without the product's prefix
   * @param help - what is counted
   * @param labelName - the label, `reason` for refusals and retries
   * @returns the counter
   */
  labelledCounter (name: string, help: string, labelName = 'reason'): LabelledCounter {
    // Added up here and handed over when metrics are collected: the library looks up its labels at each increment.
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
   * @param help - what it shows
   * @param read - returns the present value
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
   * @param help - what is timed
   * @param buckets - upper bounds in seconds
   * @returns a function that records one duration in milliseconds
   */
  durationHistogram (name: string, help: string, buckets: number[]): (milliseconds: number) => void {
    const histogram = new Histogram({ name: `eelgrassmux_${name}`, help, buckets, registers: [this.registry] })
    return milliseconds => { histogram.observe(milliseconds / 1000) }
  }

  /**
   * Whether the story of a request that goes well is kept. All processes keep or drop
   * the same requests, so that what is kept is whole.
   *
   * @param requestId - the caller's id
   */
  isSampled (requestId: string): boolean {
    let hash = 0
    for (let at = 0; at < requestId.length; at += 1) hash = (Math.imul(hash, 31) + requestId.charCodeAt(at)) | 0
    return (hash >>> 0) % this.limits.keptStories === 0
  }

  /**
   * Logs a decision that touches a request.
   *
   * @param event - name of the decision in the catalogue
   * @param requestId - the caller's id of the attempt
   * @param fields - inputs that decided, their age or version, and the outcome
   */
  logDecision<Event extends DecisionEvent> (event: Event, requestId: string, fields: DecisionFields<Event> & RequestFields): void {
    if (!this.#requestLines.admits(ORDINARY_EVENTS.has(event), performance.now())) return
    this.#log.info({ event, request: requestId, ...fields }, event)
  }

  /**
   * Logs a change of what the process believes.
   *
   * @param event - name of the change in the catalogue
   * @param fields - values that explain it
   */
  logStateChange<Event extends ChangeEvent> (event: Event, ...[fields]: FieldArguments<ChangeFields<Event>>): void {
    this.#log.info({ event, ...fields }, event)
  }

  /**
   * Writes the lines that wait, before the process ends.
   *
   * @param limitMs - longest wait for whoever reads them, in milliseconds
   */
  async flush (limitMs: number): Promise<void> {
    await this.#writer.flush(limitMs)
  }

  /**
   * Logs a fault that an operator should look at.
   *
   * @param event - name of the fault in the catalogue
   * @param fields - values that explain it
   */
  logFault<Event extends FaultEvent> (event: Event, ...[fields]: FieldArguments<FaultFields<Event>>): void {
    this.#log.error({ event, ...fields }, event)
  }

  /** Writes the last lines without waiting; call right before the process exits. */
  writeOut (): void {
    this.#requestLines.reportNow()
    this.#writer.writeOut()
  }
}
