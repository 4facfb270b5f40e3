/** Nothing is held back and nobody is told, for tests of everything else. */
import { VerdictBook } from '@eelgrassmux/routing/quarantine/VerdictBook'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { RequestQuarantine } from '../../quarantine/RequestQuarantine.js'

/** @returns a quarantine without verdicts */
export function idleQuarantine (): RequestQuarantine {
  return new RequestQuarantine(new VerdictBook(), { noteLost: () => {}, noteWhole: () => {} }, new Telemetry('idle'))
}
