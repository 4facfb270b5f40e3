import { describe, expect, it } from 'vitest'
import { RejectedEntries, rejectEntry } from './RejectedEntries.js'
import type { ChangeEvent, ChangeFields, FieldArguments } from './events/eventFields.js'
import { Telemetry } from './Telemetry.js'

class RecordingTelemetry extends Telemetry {
  readonly lines: object[] = []

  override logStateChange<Event extends ChangeEvent> (_event: Event, ...[fields]: FieldArguments<ChangeFields<Event>>): void {
    this.lines.push(fields ?? {})
  }
}

describe('RejectedEntries', () => {
  const first = [rejectEntry('Id: missing', { Service: 's' })]
  const second = [rejectEntry('no object', 'xyz'), ...first]

  it('says what is wrong once, and again only when it changes and ten seconds have passed', () => {
    const telemetry = new RecordingTelemetry('test')
    const rejected = new RejectedEntries(telemetry)
    rejected.record('list', [], 0)
    for (let now = 0; now < 60_000; now += 250) rejected.record('list', first, now)
    expect(telemetry.lines).toEqual([{ source: 'list', entries: 1, reason: 'Id: missing', excerpt: '{"Service":"s"}' }])
    for (let now = 60_000; now < 65_000; now += 250) rejected.record('list', now % 500 === 0 ? second : first, now)
    expect(telemetry.lines).toHaveLength(2)
  })

  it('counts the entries of each reading', async () => {
    const telemetry = new RecordingTelemetry('test')
    const rejected = new RejectedEntries(telemetry)
    rejected.record('list', second, 0)
    rejected.record('list', second, 1)
    expect(await telemetry.registry.metrics()).toContain('eelgrassmux_rejected_entries_total{source="list",program="test"} 4')
  })

  it('cuts long entries short', () => {
    expect(rejectEntry('too long', 'x'.repeat(1000)).excerpt).toHaveLength(120)
  })
})
