/** Creates the checks of requests for one run of the soak. */
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
import { OneSoftwareVersionCheck } from './OneSoftwareVersionCheck.js'
import { OneWeightVersionCheck } from './OneWeightVersionCheck.js'
import { PausesAreKeptCheck } from './PausesAreKeptCheck.js'
import { RatesAreKeptCheck } from './RatesAreKeptCheck.js'
import { RetryBudgetCheck } from './RetryBudgetCheck.js'
import { WholeAnswersCheck } from './WholeAnswersCheck.js'

/**
 * @param hasColdReturns - whether restarted endpoints are listed as cold in this run
 * @returns checks without any state yet
 */
export function requestChecks (hasColdReturns = false): RequestCheck[] {
  return [
    new AtMostOnceCheck(), new NotRunIsTrueCheck(), new WholeAnswersCheck(), new EventsInOrderCheck(),
    new NothingIsCutCheck(), new CustomersApartCheck(), new OneWeightVersionCheck(), new OneSoftwareVersionCheck(),
    new PoisonRequestsStopCheck(), new BystandersAreServedCheck(),
    new PausesAreKeptCheck(), new RatesAreKeptCheck(), new LeavingIsHeededCheck(), new ColdRatesAreKeptCheck(hasColdReturns),
    new RetryBudgetCheck()
  ]
}
