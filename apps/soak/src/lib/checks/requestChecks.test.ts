import { describe, expect, it } from 'vitest'
import type { RunLine, Work } from '../standinProtocol.js'
import { Ledger, type PromiseName } from '../RequestHistory.js'
import type { AskedRequest, CallerEnd } from '../observations.js'
import { TimeLine } from '../Timeline.js'
import { ConfigurationCheck } from './ConfigurationCheck.js'
import { requestChecks } from './requestChecks.js'

const STREAM: Work = { kind: 'stream', events: 3, intervalMs: 0 }
const CUT: CallerEnd = { kind: 'cut', hasHead: true, reason: 'aborted', events: [] }

function asked (overrides: Partial<AskedRequest> = {}): AskedRequest {
  return {
    id: 'r1', kind: 'generation', customer: 'ward', work: STREAM, body: '', host: 'entry-0#1', sentAt: Date.now(), siteVersion: 0, ...overrides
  }
}

function ran (overrides: Partial<RunLine> = {}): RunLine {
  return {
    event: 'run', requestId: 'r1', endpoint: 'endpoint-0#1', customer: 'ward', cacheSalt: '', hasKey: false, version: 1, after: 0, at: Date.now(), ...overrides
  }
}

describe('the checks of requests', () => {
  const timeLine = (): TimeLine => new TimeLine()

  function broken (requests: readonly AskedRequest[], runs: readonly RunLine[], line = timeLine(), end?: CallerEnd, endedAt = Date.now()): PromiseName[] {
    const ledger = new Ledger(line, requestChecks())
    for (const request of requests) ledger.noteAsked(request)
    for (const run of runs) ledger.noteRun(run)
    const [first] = requests
    if (end !== undefined && first !== undefined) ledger.noteOutcome({ request: first, end, endedAt })
    ledger.settleAll()
    return ledger.violations.map(({ promise }) => promise)
  }

  describe('customers apart', () => {
    const both = [asked(), asked({ id: 'r2', customer: 'clinic' })]

    it('takes runs of different cache scopes', () => {
      expect(broken(both, [ran({ cacheSalt: 'a' }), ran({ requestId: 'r2', customer: 'clinic', cacheSalt: 'b' })])).toEqual([])
    })

    it('finds a cache scope that an isolated customer shares', () => {
      expect(broken(both, [ran({ cacheSalt: 'a' }), ran({ requestId: 'r2', customer: 'clinic', cacheSalt: 'a' })])).toEqual(['customers-apart'])
    })

    it('finds a key that was passed on, and a run that nobody asked for', () => {
      expect(broken(both, [ran({ hasKey: true }), ran({ requestId: 'r3' })])).toEqual(['customers-apart', 'customers-apart'])
    })
  })

  describe('one weight version', () => {
    it('finds a cache scope of two versions', () => {
      expect(broken([asked()], [ran({ cacheSalt: 'a' }), ran({ cacheSalt: 'a', version: 2 })])).toEqual(['one-weight-version'])
    })
  })

  describe('few endpoints end', () => {
    const poison = (id: string): AskedRequest => asked({ id, kind: 'unsafe', work: { kind: 'plain', milliseconds: 0, crashesEndpointAfterMs: 50 } })
    const times = [0, 400, 800, 4000, 4500, 5000, 5500]

    function poisonRuns (count: number, line = timeLine(), from = Date.now() - 60_000): PromiseName[] {
      const ids = times.slice(0, count).map((_, index) => `r${index}`)
      return broken(ids.map(poison), ids.map((requestId, index) => ran({ requestId, endpoint: `endpoint-0#${index}`, at: from + (times[index] ?? 0) })), line)
    }

    it('takes three more runs once the request is known', () => {
      expect(poisonRuns(6)).toEqual([])
    })

    it('finds the fourth', () => {
      expect(poisonRuns(7)).toEqual(['poison-requests-stop'])
    })

    it('leaves out runs right after a disturbance of control hosts', () => {
      const line = timeLine()
      line.noteKill('control-1#1', true)
      expect(poisonRuns(7, line, Date.now() - 3000)).toEqual([])
    })
  })

  describe('bystanders', () => {
    const refused: CallerEnd = { kind: 'answered', status: 503, answerId: undefined, body: '{"type":"urn:eelgrassmux:problem:request-quarantined"}', events: [] }

    it('are not refused for what another request did', () => {
      expect(broken([asked()], [], timeLine(), refused)).toEqual(['bystanders-are-served'])
    })

    it('are others than the request that crashes endpoints', () => {
      expect(broken([asked({ work: { kind: 'plain', milliseconds: 0, crashesEndpointAfterMs: 50 } })], [], timeLine(), refused)).toEqual([])
    })
  })

  describe('not run', () => {
    it('finds a run that begins after the refusal', () => {
      const ledger = new Ledger(timeLine(), requestChecks())
      const request = asked()
      ledger.noteAsked(request)
      ledger.noteOutcome({ request, end: { kind: 'answered', status: 503, answerId: undefined, body: '', events: [] }, endedAt: Date.now() })
      ledger.settleAll()
      ledger.noteRun(ran())
      expect(ledger.violations.map(({ promise }) => promise)).toEqual(['not-run-is-true'])
    })
  })

  describe('cuts', () => {
    it('finds one without a cause', () => {
      expect(broken([asked()], [ran()], timeLine(), CUT)).toEqual(['nothing-is-cut'])
    })

    it('takes one that was never passed on', () => {
      expect(broken([asked()], [], timeLine(), CUT)).toEqual([])
    })

    it.each(['entry-0#1', 'endpoint-0#1', 'endpoint-0'])('takes one with an unplanned fault of %s', process => {
      const line = timeLine()
      line.note(process, 'SIGKILL', true)
      expect(broken([asked()], [ran()], line, CUT)).toEqual([])
    })

    it('finds one whose host was stopped as planned, unless it had no chance to end', () => {
      const line = timeLine()
      line.noteStop('entry-0#1', 6000)
      const at = line.stopOf('entry-0#1')?.at ?? 0
      expect(broken([asked({ sentAt: at + 3500 })], [ran()], line, CUT, at + 6000)).toEqual(['nothing-is-cut'])
      expect(broken([asked({ sentAt: at - 100 })], [ran()], line, CUT, at + 4000)).toEqual(['nothing-is-cut'])
      expect(broken([asked({ sentAt: at - 100 })], [ran()], line, CUT, at + 6000)).toEqual([])
    })

    it('takes one whose host was paused when its SIGTERM was sent', () => {
      const line = timeLine()
      line.note('entry-0#1', 'SIGSTOP', true, 2000)
      line.noteStop('entry-0#1', 6000)
      const at = line.stopOf('entry-0#1')?.at ?? 0
      expect(broken([asked({ sentAt: at + 3500 })], [ran()], line, CUT, at + 6000)).toEqual([])
    })
  })
})

describe('the check of configurations', () => {
  function check (): { ledger: Ledger, configuration: ConfigurationCheck } {
    const ledger = new Ledger(new TimeLine(), [])
    const configuration = new ConfigurationCheck(ledger)
    configuration.noteSent(1, 'one')
    configuration.noteSent(2, 'two')
    configuration.noteAcknowledged(2)
    return { ledger, configuration }
  }

  const later = (milliseconds: number): number => Date.now() + milliseconds

  it('takes what was acknowledged, and older versions read before', () => {
    const { ledger, configuration } = check()
    configuration.noteReading({ control: 'c', startedAt: later(10), version: 2, source: 'two' })
    configuration.noteReading({ control: 'c', startedAt: later(-10_000), version: 1, source: 'one' })
    expect(ledger.violations).toEqual([])
  })

  it('finds an older version, and another text under the same version', () => {
    const { ledger, configuration } = check()
    configuration.noteReading({ control: 'c', startedAt: later(10), version: 1, source: 'one' })
    configuration.noteReading({ control: 'c', startedAt: later(10), version: 2, source: 'other' })
    expect(ledger.violations).toHaveLength(2)
  })

  it('finds a host that knew a version and knows it no more', () => {
    const { ledger, configuration } = check()
    configuration.noteProbe({ host: 'entry-0#1', version: 2, sentAt: later(1), endedAt: later(2), status: 200 })
    configuration.noteProbe({ host: 'entry-0#2', version: 2, sentAt: later(3), endedAt: later(4), status: 404 })
    expect(ledger.violations).toEqual([])
    configuration.noteProbe({ host: 'entry-0#1', version: 2, sentAt: later(3), endedAt: later(4), status: 404 })
    expect(ledger.violations).toHaveLength(1)
  })

  it('finds a host that acts on a version for longer than its lease', () => {
    const { ledger, configuration } = check()
    configuration.noteProbe({ host: 'entry-0#1', version: 2, sentAt: later(10_000), endedAt: later(10_001), status: 404 })
    expect(ledger.violations).toHaveLength(1)
  })
})
