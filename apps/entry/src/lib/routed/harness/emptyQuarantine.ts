/** A quarantine without entries or reports, for tests of other things. */
import { QuarantineTable } from '@eelgrassmux/routing/quarantine/QuarantineTable'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { RequestQuarantine, type QuarantineReporter } from '../../quarantine/RequestQuarantine.js'

/** Reports nothing. */
export const IDLE_REPORTER: QuarantineReporter = { noteLost: () => {}, noteWhole: () => {}, notePartsLost: () => {}, notePartsSound: () => {}, isDisproved: () => false }

/** @returns a quarantine without entries */
export function emptyQuarantine (): RequestQuarantine {
  return new RequestQuarantine(new QuarantineTable(), IDLE_REPORTER, new Telemetry('idle'))
}
