import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { z } from 'zod'
import { ProxiedServer } from './harness/ProxiedServer.js'
import type { RpcClient } from './RpcClient.js'
import { defineStream, defineUnary } from './RpcMethod.js'

const numberSchema = z.strictObject({ number: z.number() })
const double = defineUnary('/test.Numbers/Double', numberSchema, numberSchema)
const slowlyDouble = defineUnary('/test.Numbers/SlowlyDouble', numberSchema, numberSchema)
const count = defineStream('/test.Numbers/Count', numberSchema, numberSchema)

describe('RpcClient', () => {
  let proxied: ProxiedServer
  let client: RpcClient
  let address: string
  let answerSlowCalls: () => void
  let doubled: number[]

  beforeEach(async () => {
    proxied = new ProxiedServer()
    const { server } = proxied
    doubled = []
    server.handle(double, async ({ number }) => {
      doubled.push(number)
      return { number: number * 2 }
    })
    const slowCalls = new Promise<void>(resolve => { answerSlowCalls = resolve })
    server.handle(slowlyDouble, async ({ number }) => {
      await slowCalls
      return { number: number * 2 }
    })
    server.handleStream(count, async ({ number }, stream) => {
      await stream.send({ number })
      await new Promise(resolve => { stream.signal.addEventListener('abort', resolve) })
    })
    await proxied.listen()
    ;({ client, address } = proxied)
    expect(await client.call(address, double, { number: 1 }, 5000)).toEqual({ ok: true, value: { number: 2 } })
  })

  afterEach(() => {
    answerSlowCalls()
    proxied.close()
  })

  describe('after its connection has gone silent', () => {
    // Guards against calls that all wait on a dead connection until its keepalive runs out.
    it('sends the call that follows an unanswered one over a new connection', async () => {
      proxied.proxy.silenceOpenConnections()
      expect(await client.call(address, double, { number: 2 }, 500)).toMatchObject({ ok: false, error: { kind: 'deadline' } })
      expect(await client.call(address, double, { number: 3 }, 5000)).toEqual({ ok: true, value: { number: 6 } })
    })
  })

  it('keeps a stream that is open while a call on the same connection takes long', async () => {
    const numbers: number[] = []
    const abort = new AbortController()
    const ended = client.stream(address, count, { number: 7 }, ({ number }) => { numbers.push(number) }, abort.signal)
    while (numbers.length === 0) await sleep(5)
    const slow = client.call(address, slowlyDouble, { number: 4 }, 20_000)
    for (let second = 0; second < 3; second += 1) expect(await client.call(address, double, { number: second }, 5000)).toMatchObject({ ok: true })
    answerSlowCalls()
    expect(await slow).toEqual({ ok: true, value: { number: 8 } })
    abort.abort()
    expect(await ended).toMatchObject({ kind: 'cancelled' })
    expect(numbers).toEqual([7])
  })
})
