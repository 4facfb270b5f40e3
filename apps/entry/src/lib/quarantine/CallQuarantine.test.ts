import type { RequestListener } from 'node:http'
import { afterEach, describe, expect, it } from 'vitest'
import { PlainServiceHarness } from '../plain/harness/PlainServiceHarness.js'

const MINUTE_MS = 60_000

describe('calls to plain services', () => {
  let harness: PlainServiceHarness
  afterEach(async () => { await harness.close() })

  async function started (answer: RequestListener): Promise<PlainServiceHarness> {
    harness = new PlainServiceHarness()
    await harness.start(answer)
    return harness
  }

  const closeConnection: RequestListener = request => { request.socket.destroy() }
  const serve: RequestListener = (_request, response) => { response.end('whole') }

  it('are reported with the incarnation of the endpoint that closed the connection', async () => {
    const { lost } = await started(closeConnection)
    await harness.get('/a')
    expect(lost).toMatchObject([{ service: 'app', endpoint: 'app-0#7' }])
  })

  it('are not reported if the endpoint is leaving, because it stops by itself', async () => {
    const { lost, table } = await started((request, response) => {
      table.observeLeaving('app-0')
      closeConnection(request, response)
    })
    await harness.get('/a')
    expect(lost).toEqual([])
  })

  it('are refused immediately while they are quarantined, and other calls are served', async () => {
    const { lost } = await started(closeConnection)
    await harness.get('/a')
    const { calls } = harness
    harness.quarantineRequest(lost[0]?.fingerprint ?? '')
    expect(await harness.get('/a')).toEqual({ status: 503, reason: 'request-quarantined', run: 'not-run' })
    expect(harness.calls).toBe(calls)
    expect((await harness.get('/b')).reason).not.toBe('request-quarantined')
  })

  it('are reported as completed if they succeed while they are suspected', async () => {
    let answer = closeConnection
    const { lost, whole, quarantined } = await started((request, response) => { answer(request, response) })
    await harness.get('/a')
    const fingerprint = lost[0]?.fingerprint ?? ''
    quarantined.replace([{ fingerprint, service: 'app', state: 'suspected', quarantines: 0, leftMs: MINUTE_MS }], performance.now())
    answer = serve
    expect((await harness.get('/a')).status).toBe(200)
    expect(whole).toEqual([fingerprint])
  })
})
