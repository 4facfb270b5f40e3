/** The entry host for routed requests with the soak's headers. */
import { z } from 'zod'
import { runDaemon, type DaemonProgram } from '@eelgrassmux/daemon/runDaemon'
import { booleanSetting } from '@eelgrassmux/daemon/settings'
import { routedSettingsShape, startRoutedDaemon } from '@eelgrassmux/entry/RoutedDaemon'
import { SoakCodec } from './lib/SoakCodec.js'

const settingsSchema = z.object({
  ...routedSettingsShape,
  deaf: booleanSetting.default(false).describe('does not read what endpoints ask of it in their answers: a break for the checks')
})

const program: DaemonProgram<z.infer<typeof settingsSchema>> = {
  name: 'soak-entry',
  description: 'Takes the soak\'s requests and runs them on endpoints',
  settings: settingsSchema,
  start: async (settings, telemetry) => await startRoutedDaemon(settings, telemetry, {
    codec: new SoakCodec(settings.deaf),
    // Readiness is asked for on the admin port.
    openPlatformServers: async () => ({ close: async () => {} })
  })
}

await runDaemon(program, process.argv.slice(2))
