import type { RequestListener } from 'node:http'
import type { Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, describe, expect, it } from 'vitest'
import { PlainServiceHarness } from './harness/PlainServiceHarness.js'

const REJECTION = 'HTTP/1.1 503 Full\r\neelgrassmux-run: not-run\r\nretry-after: 0\r\ncontent-length: 0\r\n\r\n'

describe('a call to a plain service that is not safe to repeat', () => {
  let harness: PlainServiceHarness
  afterEach(async () => { await harness.close() })

  async function started (answer: RequestListener): Promise<PlainServiceHarness> {
    harness = new PlainServiceHarness()
    await harness.start(answer)
    return harness
  }

  // Guards against a copy of the rejection of an earlier call that is believed for the call that runs.
  it('is not refused as not run by a second rejection of the call before it', async () => {
    let rejectedOn: Socket | undefined
    let calls = 0
    await started((request, response) => {
      calls += 1
      if (calls === 1) {
        rejectedOn = request.socket
        request.socket.write(REJECTION)
        return
      }
      if (request.socket === rejectedOn) request.socket.write(REJECTION)
      setTimeout(() => { response.end('done') }, 30)
    })
    await harness.call('POST', '/a')
    // The connection is idle again.
    await sleep(20)
    harness.table.observeReport('app-0', { leaving: false, incarnation: 8 }, performance.now())
    const { run } = await harness.call('POST', '/b')
    expect(calls).toBe(2)
    expect(run).not.toBe('not-run')
  })

  // Guards against a service's own status that callers take for the promise that the call never ran.
  it.each([408, 421, 429, 503])('does not get the status %d of a service that does not state that it did not run the call', async status => {
    await started((_request, response) => { response.writeHead(status).end('busy') })
    expect(await harness.call('POST', '/a')).toEqual({ status: 502, reason: 'endpoint-failed', run: 'unknown' })
  })

  it('gets the status of a service that ran it otherwise', async () => {
    await started((_request, response) => { response.writeHead(409).end('taken') })
    expect((await harness.call('POST', '/a')).status).toBe(409)
  })
})
