/** Method by which entry hosts ask the leading control host which of their waiting requests may be sent. */
import { decodeWaitingAnswer, decodeWaitingReport, encodeWaitingAnswer, encodeWaitingReport } from '@eelgrassmux/routing/waiting/waitingCodec'
import type { WaitingAnswer, WaitingReport } from '@eelgrassmux/routing/waiting/waitingMessages'
import type { DatagramMethod } from '../datagrams/DatagramMethod.js'

/** Datagram kind of the method; it must differ from those of the other methods. */
const EXCHANGE_WAITING_KIND = 6

/** Reports the waiting requests of a host. The leader may hold the question for up to 100 ms before it answers. */
export const exchangeWaiting: DatagramMethod<WaitingReport, WaitingAnswer> = {
  kind: EXCHANGE_WAITING_KIND,
  name: 'exchange-waiting',
  request: { encode: encodeWaitingReport, decode: decodeWaitingReport },
  response: { encode: encodeWaitingAnswer, decode: decodeWaitingAnswer }
}
