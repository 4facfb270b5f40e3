import { directoryChanges } from './directoryChanges.js'
import { endpointChanges } from './endpointChanges.js'
import { endpointListChanges } from './endpointListChanges.js'
import { groupChanges } from './groupChanges.js'
import { processChanges } from './processChanges.js'
import { quarantineChanges } from './quarantineChanges.js'
import { rolloutChanges } from './rolloutChanges.js'
import { siteChanges } from './siteChanges.js'
import { stopChanges } from './stopChanges.js'
import { storeChanges } from './storeChanges.js'

/** Lines about what a process believes, by name, with the fields of each. */
export const changeEvents = {
  ...processChanges,
  ...endpointChanges,
  ...siteChanges,
  ...groupChanges,
  ...endpointListChanges,
  ...storeChanges,
  ...rolloutChanges,
  ...directoryChanges,
  ...stopChanges,
  ...quarantineChanges
}
