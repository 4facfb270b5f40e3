/** The entry host for routed requests with the soak's headers. */
import { z } from 'zod'
import { runDaemon, type DaemonProgram } from '@eelgrassmux/daemon/runDaemon'
import { routedSettingsShape, startRouted, type RoutedSettings } from '@eelgrassmux/entry/RoutedDaemon'
import { SoakCodec } from './lib/SoakCodec.js'

const program: DaemonProgram<RoutedSettings> = {
  name: 'soak-entry',
  description: 'Takes the soak\'s requests and runs them on endpoints',
  settings: z.object(routedSettingsShape),
  start: async (settings, telemetry) => await startRouted(settings, telemetry, {
    codec: new SoakCodec(),
    // Readiness is asked for on the admin port.
    openEdges: async () => ({ close: async () => {} })
  })
}

await runDaemon(program, process.argv.slice(2))
