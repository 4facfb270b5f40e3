import { controlFaults } from './controlFaults.js'
import { processFaults } from './processFaults.js'

/** Lines that an operator should look at, by name, with the fields of each. */
export const faultEvents = {
  ...processFaults,
  ...controlFaults
}
