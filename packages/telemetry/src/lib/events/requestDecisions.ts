import { z } from 'zod'

const runState = z.enum(['not-run', 'unknown'])

/** A retry with respect to the budget that hosts share. */
const retryTokenFields = z.strictObject({
  failure: z.string(),
  /** Tokens in this host's account. */
  account: z.number(),
  /** Filled part of the leader's pool, from 0 to 1; -1 if it is not known. */
  pool: z.number(),
  /** Milliseconds since a token was first denied. */
  waitMs: z.number()
})

/** Decisions of an entry host about a routed request. */
export const requestDecisions = {
  'waits-for-site': z.strictObject({ areEndpointsKnown: z.boolean(), isLoadKnown: z.boolean(), waiting: z.number() }),
  /** The site in force does not allow the request, and the host knows of a newer view. */
  'waits-for-view': z.strictObject({ reason: z.string(), viewsBehind: z.number(), viewBehindMs: z.number(), waiting: z.number() }),
  'waits-for-room': z.strictObject({ endpoint: z.string(), memoryShare: z.number(), tokensHeld: z.number(), tokensAhead: z.number(), delayedStreams: z.number().optional() }),
  /** Joined the queue of all hosts. */
  'waits-in-order': z.strictObject({ kind: z.string(), urgency: z.number(), tokens: z.number(), candidates: z.number(), waiting: z.number() }),
  /** The leader granted capacity to a request that waited. */
  granted: z.strictObject({ endpoint: z.string(), hasReservation: z.boolean(), waitedMs: z.number() }),
  /** A second attempt is started in parallel, because the endpoint of the first has stopped responding. */
  'standby-opened': z.strictObject({ endpoint: z.string(), standby: z.string(), hadEvents: z.boolean(), remainingMs: z.number() }),
  /** A stream that has begun waits for an endpoint that can resume it, or for the retry budget. */
  'waits-to-resume': z.strictObject({ waitMs: z.number(), patienceMs: z.number() }),
  /** A stream is sent to an endpoint to go on after an event, because its attempt ended or its caller has taken it up. */
  'resumes-stream': z.strictObject({
    endpoint: z.string(),
    /** Version of the endpoint's software; empty if it states none. */
    software: z.string(),
    lastEventId: z.number(),
    by: z.enum(['host', 'caller']),
    /** The caller's attempt that brought the first event, if the caller names one. */
    resumes: z.string().optional()
  }),
  /** Another host serves the request, because this one does not reach the endpoints. */
  relayed: z.strictObject({ host: z.string(), reason: z.string() }),
  'relay-refused': z.strictObject({ host: z.string() }),
  'relay-answered': z.strictObject({ host: z.string(), status: z.number() }),
  /** An exception in the handling of the request, which has ended with it; the process goes on. */
  'request-fault': z.strictObject({ message: z.string(), stack: z.string() }),
  'connections-used-up': z.strictObject({ endpoint: z.string(), open: z.number() }),
  'attempt-failed': z.strictObject({
    endpoint: z.string(),
    failure: z.string(),
    detail: z.string(),
    sends: z.number(),
    runs: z.number(),
    remainingMs: z.number(),
    /** The next three fields are set if the request may have run: what was requested, how long the endpoint had it, and whether events arrived. */
    fingerprint: z.string().optional(),
    ranMs: z.number().optional(),
    hadEvents: z.boolean().optional(),
    /** Shared parts of its prompt, set if the request was lost before it had begun to answer. */
    parts: z.string().optional(),
    /** The next two fields are set if a response had begun: what marks the end of its body, and how much of that had arrived. */
    framing: z.enum(['length', 'chunks', 'connection']).optional(),
    bodyBytes: z.number().optional(),
    /** The next three fields identify the send: local port of the connection, responses that it had brought before, and milliseconds since the send. */
    localPort: z.number().optional(),
    carried: z.number().optional(),
    sentAgoMs: z.number().optional(),
    /** Request id in the response; empty if it has none, absent if there was no response. */
    answerId: z.string().optional()
  }),
  /** A send was stopped before its first byte: the request had ended, or an earlier send of a request that may run once may have been executed. */
  'send-withheld': z.strictObject({ hasEnded: z.boolean(), sends: z.number(), runs: z.number() }),
  'retry-budget-used-up': z.strictObject({ failure: z.string() }),
  'retry-granted': retryTokenFields,
  'retry-denied': retryTokenFields,
  answered: z.strictObject({
    status: z.number(),
    endpoint: z.string(),
    estimatedMs: z.number(),
    waitMs: z.number(),
    fetchMs: z.number(),
    tokensToRead: z.number(),
    partsFromStores: z.number().optional(),
    linkDoublings: z.number().optional(),
    version: z.number(),
    firstEventMs: z.number(),
    promptTokens: z.number(),
    storedTokens: z.number().optional(),
    sharedPart: z.string().optional(),
    saves: z.number().optional(),
    /** By how many times the engine's machine was expected to take longer than usual. */
    machinePace: z.number().optional(),
    /** Expected number of running streams that the request would delay beyond their longest pause. */
    delayedStreams: z.number().optional()
  }),
  refused: z.strictObject({
    reason: z.string(),
    status: z.number(),
    run: runState,
    detail: z.string(),
    retryAfterSeconds: z.number().optional(),
    /** Views by which the host is behind, for how long it has known that, and how long ago its view was confirmed. */
    viewsBehind: z.number().optional(),
    viewBehindMs: z.number().optional(),
    viewConfirmedMs: z.number().optional()
  }),
  /** The bodies of requests occupied too much memory, and this one had no room or gave way. */
  'request-body-refused': z.strictObject({
    /** Whether it found no room, its caller had stopped sending, or its customer had more than its share. */
    cause: z.enum(['full', 'stalled', 'share']),
    customer: z.string(),
    /** Memory that it needs, that its customer has, and that all have, in bytes. */
    bodyBytes: z.number(),
    customerBytes: z.number(),
    totalBytes: z.number(),
    /** Bodies that wait unread. */
    waiting: z.number(),
    /** Its wait for room, and the time since its caller last sent bytes, in milliseconds. */
    waitedMs: z.number(),
    idleMs: z.number()
  }),
  /** The bytes held for slow readers exceeded a bound, and this reader was the slowest of the customer that holds most. */
  /** The unfinished responses of endpoints occupied too much memory, and this one was the oldest of the endpoint with most of them. */
  'response-cut': z.strictObject({ endpoint: z.string(), keptBytes: z.number(), endpointBytes: z.number(), totalBytes: z.number() }),
  'slow-reader-cut': z.strictObject({
    reader: z.string(),
    customer: z.string(),
    /** Bytes held for this reader, for its customer and in all. */
    heldBytes: z.number(),
    customerBytes: z.number(),
    totalBytes: z.number(),
    /** Age of the oldest unread byte in milliseconds. */
    unreadMs: z.number(),
    endpoint: z.string().optional()
  }),
  /** The caller's connection failed because of bytes behind this request, of which the response was awaited; with the status that was written, 0 for none. */
  'caller-connection-failed': z.strictObject({ code: z.string(), status: z.number(), awaited: z.number() }),
  'broken-off': z.strictObject({ endpoint: z.string().optional(), failure: z.string(), detail: z.string().optional() }),
  'caller-left': z.strictObject({
    endpoint: z.string().optional(), isSilent: z.boolean().optional(), hadEvents: z.boolean().optional(), run: runState.optional(), isLagging: z.boolean().optional()
  })
}
