import { controlFaults } from './controlFaults.js'
import { processFaults } from './processFaults.js'

/** Lines about faults that an operator should investigate: event names and their fields. */
export const faultEvents = {
  ...processFaults,
  ...controlFaults
}
