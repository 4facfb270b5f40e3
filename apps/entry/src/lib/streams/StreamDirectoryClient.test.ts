import { describe, expect, it } from 'vitest'
import type { StreamOrigin } from '@eelgrassmux/routing/streams/streamOrigin'
import type { OriginAnswer } from '@eelgrassmux/routing/streams/streamOrigin'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { Site } from '@eelgrassmux/schema/site/siteSchema'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { StreamDirectoryClient } from './StreamDirectoryClient.js'

const CONTROL_HOSTS = ['control-0', 'control-1', 'control-2']
const SITE = { routes: [{ name: 'route', isResumable: true, targets: [{ service: 'app', weight: 1 }] }] } as unknown as Site
const OLD: StreamOrigin = { service: 'app', software: 'v1' }
const NEW: StreamOrigin = { service: 'app', software: 'v2' }
const MAX_AGE_MS = 10_000

const listed = (software: string): ListedEndpoint => ({ service: 'app', software }) as unknown as ListedEndpoint

/** A host that has just started and lists only the new version. Control hosts that are not given answer nothing. */
async function findAfterRestart (id: string | undefined, answers: readonly OriginAnswer[]): Promise<StreamOrigin | undefined> {
  const client = new StreamDirectoryClient('host', {
    datagrams: {
      tell: () => {},
      ask: (address, _method, _request, onResponse) => {
        const answer = answers[CONTROL_HOSTS.indexOf(address)]
        if (answer !== undefined) setImmediate(() => { onResponse(answer as never, performance.now()) })
      }
    },
    controlHosts: () => CONTROL_HOSTS,
    listAgeMs: () => 0
  }, new Telemetry('test'))
  client.observe(SITE, [listed('v2')])
  const found = await new Promise<StreamOrigin | undefined>(resolve => { client.find({ id, route: 'route', maxAgeMs: MAX_AGE_MS }, resolve) })
  client.stop()
  return found
}

describe('StreamDirectoryClient', () => {
  const saw = (observedMs: number, ...possible: StreamOrigin[]): OriginAnswer => ({ possible, isRecent: true, observedMs })

  describe.each([['that is not named', undefined], ['that is named', 'stream']])('a stream %s, at a host that has just started', (_kind, id) => {
    // Guards against streams joined from two versions: a host that had just started took the only version that it listed for the one that had begun them.
    it('goes nowhere if a control host has seen another version', async () => {
      expect(await findAfterRestart(id, [saw(60_000, OLD, NEW), saw(60_000, OLD, NEW), saw(60_000, OLD, NEW)])).toBeUndefined()
    })

    it('goes nowhere if no control host answers, or none has followed the list for as long as the stream may have lasted', async () => {
      expect(await findAfterRestart(id, [])).toBeUndefined()
      expect(await findAfterRestart(id, [saw(500, NEW), saw(500, NEW), saw(500, NEW)])).toBeUndefined()
    })

    it('goes on if a majority of the control hosts has seen no other version', async () => {
      expect(await findAfterRestart(id, [saw(60_000, NEW), saw(60_000, NEW)])).toEqual(NEW)
    })
  })
})
