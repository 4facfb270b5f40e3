/** Method by which entry hosts exchange retry tokens with the leader of the control hosts. */
import { retryAnswerSchema, retryQuestionSchema } from '@eelgrassmux/routing/attempts/retryMessages'
import { defineDatagram } from '../datagrams/DatagramMethod.js'

/** Datagram kind of the method; it must differ from those in `controlMethods` and `loadMethods`. */
const EXCHANGE_RETRIES_KIND = 5

/** Deposits tokens and asks for tokens; a control host that does not lead gives no answer. */
export const exchangeRetries = defineDatagram(EXCHANGE_RETRIES_KIND, 'exchange-retries', retryQuestionSchema, retryAnswerSchema)
