import { spawnSync } from 'node:child_process'
import { describe, expect, it } from 'vitest'
import { Telemetry } from './Telemetry.js'

/** Runs statements in a process with a telemetry named `log`, and returns the contexts of the lines that it wrote to standard output. */
function linesOf (statements: string): Array<Record<string, unknown>> {
  const script = `
    import { Telemetry } from '${new URL('../../dist/lib/Telemetry.js', import.meta.url).href}'
    const log = new Telemetry('small', { keptStories: 1, logLinesPerSecond: 4 })
    const answered = id => { log.logDecision('answered', id, { status: 200, endpoint: 'e', estimatedMs: 1, waitMs: 1, fetchMs: 1, tokensToRead: 1, version: 1, firstEventMs: 1, promptTokens: 1 }) }
    const refused = id => { log.logDecision('refused', id, { reason: 'no-endpoint', status: 503, run: 'not-run', detail: '' }) }
    ${statements}
    log.flushSync()`
  const { stdout } = spawnSync(process.execPath, ['--input-type=module', '--eval', script], { env: { ...process.env, ROARR_LOG: 'true' }, encoding: 'utf8' })
  return stdout.trimEnd().split('\n').map(line => (JSON.parse(line) as { context: Record<string, unknown> }).context)
}

describe('Telemetry', () => {
  it('has metrics of the process, but none that sample the event loop and so wake the process', async () => {
    const metrics = await new Telemetry('test').registry.metrics()
    expect(metrics).toContain('process_cpu_seconds_total')
    expect(metrics).toContain('nodejs_eventloop_lag_seconds')
    expect(metrics).not.toContain('nodejs_eventloop_lag_p99_seconds')
  })

  it('counts by label, and keeps the totals between collections', async () => {
    const telemetry = new Telemetry('test')
    const counter = telemetry.labelledCounter('retries_total', 'retries')
    counter.count('lost')
    counter.count('rejected', 3)
    expect(await telemetry.registry.metrics()).toContain('eelgrassmux_retries_total{reason="lost",program="test"} 1')
    counter.count('lost')
    const metrics = await telemetry.registry.metrics()
    expect(metrics).toContain('eelgrassmux_retries_total{reason="lost",program="test"} 2')
    expect(metrics).toContain('eelgrassmux_retries_total{reason="rejected",program="test"} 3')
  })

  it('logs failures even if many requests succeed, and reports omitted lines', () => {
    const lines = linesOf('for (const id of \'abcdefgh\') answered(id); for (const id of \'ijk\') refused(id)')
    expect(lines.map(({ event, request, count }) => [event, request ?? count])).toEqual([
      ['answered', 'a'], ['answered', 'b'], ['refused', 'i'], ['refused', 'j'], ['request-lines-left-out', 7]
    ])
  })

  it('logs program, event, request and fields', () => {
    expect(linesOf('log.logStateChange(\'stopped\'); log.logFault(\'fatal\', { invariant: \'x\', message: \'y\' }); log.logDecision(\'retry-budget-used-up\', \'r\', { failure: \'lost\', siteVersion: 3 })')).toEqual([
      { program: 'small', event: 'stopped', logLevel: 30 },
      { program: 'small', event: 'fatal', invariant: 'x', message: 'y', logLevel: 50 },
      { program: 'small', event: 'retry-budget-used-up', request: 'r', failure: 'lost', siteVersion: 3, logLevel: 30 }
    ])
  })
})
