/** Messages by which entry hosts deposit retry tokens with the leader of the control hosts and ask it for tokens. */
import { z } from 'zod'

const MAX_NAME_LENGTH = 256

/** Most services in a message; the others follow with the next message. */
export const MAX_SERVICES_PER_MESSAGE = 16

/** Most tokens in a message, far above any sensible slack; excludes numbers that are not finite. */
const MAX_TOKENS = 1_000_000

const tokensSchema = z.number().min(0).max(MAX_TOKENS)
const countSchema = z.number().int().min(0).max(MAX_TOKENS)
const nameSchema = z.string().min(1).max(MAX_NAME_LENGTH)
const sequenceSchema = z.number().int().min(0)

export const retryQuestionSchema = z.strictObject({
  host: nameSchema,
  /** Rises with each message of the host, also across its restarts. */
  sequence: sequenceSchema,
  /** Sequence number with which the host's process began; sums of deposits begin there. */
  firstSequence: sequenceSchema,
  /** Live entry hosts, as far as the host knows. */
  liveHosts: z.number().int().min(1),
  /** Whether the host keeps to the limits of a member; the leader grants nothing to others and takes nothing from them. */
  isMember: z.boolean(),
  services: z.array(z.strictObject({
    service: nameSchema,
    /** Tokens that the host deposits with this message. */
    deposited: tokensSchema,
    /** Tokens that the host has deposited in all, this message included. */
    depositedInAll: z.number().min(0),
    /** Tokens wanted for streams that have begun. */
    begun: countSchema,
    /** Tokens wanted for other retries. */
    other: countSchema
  })).max(MAX_SERVICES_PER_MESSAGE)
})

export const retryAnswerSchema = z.strictObject({
  /** Sequence number of the question. */
  sequence: sequenceSchema,
  services: z.array(z.strictObject({
    service: nameSchema,
    granted: tokensSchema,
    /** Filled part of the pool's capacity with all hosts, from 0 to 1. */
    fill: z.number().min(0).max(1)
  })).max(MAX_SERVICES_PER_MESSAGE)
})

/** Message of a host. */
export type RetryQuestion = z.infer<typeof retryQuestionSchema>

/** Answer of the leader. */
export type RetryAnswer = z.infer<typeof retryAnswerSchema>
