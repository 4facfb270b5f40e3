/** Methods by which entry hosts keep the origins of streams at control hosts and look them up there. */
import { originAnswerSchema, originQuestionSchema, startedStreamsSchema } from '@eelgrassmux/routing/streams/streamOrigin'
import { z } from 'zod'
import { defineDatagram } from '../datagrams/DatagramMethod.js'

/** Datagram kinds of the methods; they must differ from those of the other methods. */
const RECORD_STREAMS_KIND = 7
const FIND_ORIGIN_KIND = 8

/** Reports streams that have begun. */
export const recordStreams = defineDatagram(RECORD_STREAMS_KIND, 'record-streams', startedStreamsSchema, z.strictObject({}))

/** Asks what began a stream. Every control host answers from its own records, whether it leads or not. */
export const findOrigin = defineDatagram(FIND_ORIGIN_KIND, 'find-origin', originQuestionSchema, originAnswerSchema)
