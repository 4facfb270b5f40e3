/** A quarantine without entries or reports, for tests of other things. */
import { QuarantineTable } from '@eelgrassmux/routing/quarantine/QuarantineTable'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { RequestQuarantine } from '../../quarantine/RequestQuarantine.js'

/** @returns a quarantine without entries */
export function emptyQuarantine (): RequestQuarantine {
  return new RequestQuarantine(new QuarantineTable(), { noteLost: () => {}, noteWhole: () => {} }, new Telemetry('idle'))
}
