import { directoryChanges } from './directoryChanges.js'
import { endpointChanges } from './endpointChanges.js'
import { endpointListChanges } from './endpointListChanges.js'
import { groupChanges } from './groupChanges.js'
import { loadChanges } from './loadChanges.js'
import { processChanges } from './processChanges.js'
import { quarantineChanges } from './quarantineChanges.js'
import { rolloutChanges } from './rolloutChanges.js'
import { siteChanges } from './siteChanges.js'
import { stopChanges } from './stopChanges.js'
import { storeChanges } from './storeChanges.js'

/** Lines about changes of a process's state: event names and their fields. */
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
  ...quarantineChanges,
  ...loadChanges
}
