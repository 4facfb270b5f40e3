/** Metrics registry and state-change log of one process. */
import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client'
import { Roarr } from 'roarr'

/** Counter with one label. */
export interface LabelledCounter {
  /** @param label - value of the counter's only label */
  count (label: string, amount?: number): void
}

/** Metrics and log of one process, both named after its program. */
export class Telemetry {
  readonly registry = new Registry()
  readonly #log

  /** @param program - name of the binary, such as `eelgrassmux-entry` */
  constructor (readonly program: string) {
    this.registry.setDefaultLabels({ program })
    collectDefaultMetrics({ register: this.registry })
    this.#log = Roarr.child({ program })
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
    const counter = new Counter({ name: `eelgrassmux_${name}`, help, labelNames: [labelName], registers: [this.registry] })
    return { count: (label, amount = 1) => { counter.inc({ [labelName]: label }, amount) } }
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
   * Logs a change of state. Nothing else is logged: the rest is counted.
   *
   * @param event - short stable name of the change
   * @param details - values that explain it
   */
  stateChanged (event: string, details: Readonly<Record<string, string | number | boolean>> = {}): void {
    this.#log.info({ event, ...details }, event)
  }

  /**
   * Logs a fault that an operator should look at.
   *
   * @param event - short stable name of the fault
   * @param details - values that explain it
   */
  fault (event: string, details: Readonly<Record<string, string | number | boolean>> = {}): void {
    this.#log.error({ event, ...details }, event)
  }
}
