/** A control host with the platform adapters of the soak. */
import { z } from 'zod'
import { controlSettingsShape, startControl } from '@eelgrassmux/control/ControlDaemon'
import { boundHeapGrowth } from '@eelgrassmux/daemon/boundHeapGrowth'
import { runDaemon, type DaemonProgram } from '@eelgrassmux/daemon/runDaemon'
import { addressSetting, booleanSetting } from '@eelgrassmux/daemon/settings'
import { HttpEndpointProbe } from './lib/HttpEndpointProbe.js'
import { HttpEndpointSource } from './lib/HttpEndpointSource.js'
import { HttpRolloutBackend } from './lib/HttpRolloutBackend.js'
import { NoStores } from './lib/NoStores.js'
import { serveOperatorApi } from './lib/serveOperatorApi.js'

const settingsSchema = z.object({
  ...controlSettingsShape,
  list: addressSetting.describe('address of the endpoint list'),
  forgetful: booleanSetting.default(false).describe('acknowledges sites, weights and evacuations without putting them in force: a break that the checks must detect')
})

const program: DaemonProgram<z.infer<typeof settingsSchema>> = {
  name: 'soak-control',
  description: 'Control host of the soak: agrees on sites and weights',
  settings: settingsSchema,
  start: async (settings, telemetry, fail, waits) => {
    boundHeapGrowth(settings.memoryMb)
    return await startControl(settings, telemetry, fail, waits, {
      endpoints: new HttpEndpointSource(settings.list),
      engines: new HttpRolloutBackend(),
      stores: new NoStores(),
      probe: new HttpEndpointProbe(),
      contacts: () => settings.join,
      firstContacts: () => settings.join,
      openOperatorApi: async sites => await serveOperatorApi(settings.host, sites, settings.forgetful)
    })
  }
}

await runDaemon(program, process.argv.slice(2))
