/** An entry host for routed requests that uses the headers of the soak. */
import { z } from 'zod'
import { boundHeapGrowth } from '@eelgrassmux/daemon/boundHeapGrowth'
import { runDaemon, type DaemonProgram } from '@eelgrassmux/daemon/runDaemon'
import { booleanSetting } from '@eelgrassmux/daemon/settings'
import { routedSettingsShape, startRoutedDaemon } from '@eelgrassmux/entry/RoutedDaemon'
import { answerConnectionErrors, believeStatements, endSoon, hoardMemory } from './lib/breakPromises.js'
import { bindOutgoingConnections } from './lib/bindOutgoingConnections.js'
import { leaveOutgoingConnectionsOpen } from './lib/leaveOutgoingConnectionsOpen.js'
import { refuseCrowds } from './lib/refuseCrowds.js'
import { SoakCodec } from './lib/SoakCodec.js'

const settingsSchema = z.object({
  ...routedSettingsShape,
  alone: booleanSetting.default(false).describe('reaches no other entry host: a break that the checks must detect'),
  frail: booleanSetting.default(false).describe('refuses all requests beyond a few: a break that the checks must detect'),
  credulous: booleanSetting.default(false).describe('believes statements of endpoints that may belong to other sends: a break that the checks must detect'),
  hasty: booleanSetting.default(false).describe('answers connection errors while requests are pending: a break that the checks must detect'),
  leavesOpen: booleanSetting.default(false).describe('never closes its connections to endpoints: a break that the checks must detect'),
  hoards: booleanSetting.default(false).describe('holds ever more memory: a break that the checks must detect'),
  ends: booleanSetting.default(false).describe('ends by itself some seconds after its start: a break that the checks must detect'),
  deaf: booleanSetting.default(false).describe('ignores what endpoints ask of it in their answers: a break that the checks must detect')
})

const program: DaemonProgram<z.infer<typeof settingsSchema>> = {
  name: 'soak-entry',
  description: 'Entry host of the soak: accepts requests and forwards them to endpoints',
  settings: settingsSchema,
  start: async (settings, telemetry, _fail, waits, memory) => {
    boundHeapGrowth(settings.memoryMb)
    bindOutgoingConnections(settings.host, !settings.alone)
    if (settings.frail) refuseCrowds()
    if (settings.credulous) believeStatements()
    if (settings.hasty) answerConnectionErrors()
    if (settings.hoards) hoardMemory()
    if (settings.ends) endSoon()
    if (settings.leavesOpen) leaveOutgoingConnectionsOpen(settings.control)
    return await startRoutedDaemon(settings, telemetry, waits, {
      codec: new SoakCodec(settings.deaf),
      // The admin port serves readiness, so no further servers are needed.
      openPlatformServers: async () => ({ close: async () => {} })
    }, memory)
  }
}

await runDaemon(program, process.argv.slice(2))
