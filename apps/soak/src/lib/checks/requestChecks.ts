/** All promises about requests, ready for one run of the soak. */
import type { RequestCheck } from '../RequestHistory.js'
import { AtMostOnceCheck } from './AtMostOnceCheck.js'
import { BystandersAreServedCheck } from './BystandersAreServedCheck.js'
import { ColdRatesAreKeptCheck } from './ColdRatesAreKeptCheck.js'
import { CustomersApartCheck } from './CustomersApartCheck.js'
import { PoisonRequestsStopCheck } from './PoisonRequestsStopCheck.js'
import { EventsInOrderCheck } from './EventsInOrderCheck.js'
import { LeavingIsHeededCheck } from './LeavingIsHeededCheck.js'
import { NothingIsCutCheck } from './NothingIsCutCheck.js'
import { NotRunIsTrueCheck } from './NotRunIsTrueCheck.js'
import { OneWeightVersionCheck } from './OneWeightVersionCheck.js'
import { PausesAreKeptCheck } from './PausesAreKeptCheck.js'
import { RatesAreKeptCheck } from './RatesAreKeptCheck.js'
import { WholeAnswersCheck } from './WholeAnswersCheck.js'

/**
 * @param hasColdReturns - whether endpoints come back cold in this run
 * @returns new checks
 */
export function requestChecks (hasColdReturns = false): RequestCheck[] {
  return [
    new AtMostOnceCheck(), new NotRunIsTrueCheck(), new WholeAnswersCheck(), new EventsInOrderCheck(),
    new NothingIsCutCheck(), new CustomersApartCheck(), new OneWeightVersionCheck(),
    new PoisonRequestsStopCheck(), new BystandersAreServedCheck(),
    new PausesAreKeptCheck(), new RatesAreKeptCheck(), new LeavingIsHeededCheck(), new ColdRatesAreKeptCheck(hasColdReturns)
  ]
}
