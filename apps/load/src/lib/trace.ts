/** Traces of prompts that are sent again after gaps: recorded as JSON lines, or generated from a seed. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { z } from 'zod'

/** One request of a trace. */
export const traceLineSchema = z.strictObject({
  /** Milliseconds since the start of the trace, after time compression. */
  at: z.number().min(0),
  customer: z.string(),
  service: z.string(),
  promptId: z.string(),
  /** Length of the prompt, in tokens. */
  promptTokens: z.number().int().min(1),
  /** Number of leading tokens that all prompts of this customer and service share. */
  sharedTokens: z.number().int().min(0),
  answerTokens: z.number().int().min(1)
})

export type TraceLine = z.infer<typeof traceLineSchema>

/** Parameters of a generated trace. */
export interface TracePlan {
  readonly seed: number
  readonly seconds: number
  readonly requestsPerSecond: number
  readonly customers: readonly string[]
  readonly service: string
}

/**
 * Number of real seconds that one second of a trace represents. Real gaps between
 * uses of a prompt last from minutes to days; a gap of 15 minutes becomes one second.
 */
export const TIME_COMPRESSION = 900

/** Share of requests that are the first use of their prompt. */
const FIRST_REQUEST_SHARE = 0.4

/**
 * Shape of the Pareto distribution of gaps, and the minimum gap in milliseconds. The
 * minimum is half an hour before time compression, so that a prompt is sent again only
 * after its answer.
 */
const GAP_PARETO_SHAPE = 0.9
const MIN_GAP_MS = 2000

/** Exponent of the Zipf distribution of customers: the largest sends about half of the requests, the next a quarter of the rest. */
const CUSTOMER_ZIPF_EXPONENT = 1.3

const SHARED_TOKENS = 256
const MIN_PROMPT_TOKENS = 400
const MAX_PROMPT_TOKENS = 7000
const ANSWER_TOKENS = { least: 8, most: 40 }

/** Upper bound of the tokens by which a prompt grows between two uses. */
const MAX_GROWTH_TOKENS = 200

/**
 * Generates a trace. The same plan always gives the same trace.
 *
 * @param plan - parameters of the trace
 * @returns requests in order of time
 */
export function makeTrace (plan: TracePlan): TraceLine[] {
  const generator = xoroshiro128plus(plan.seed)
  const random = (): number => uniformFloat64(generator)
  const lines: TraceLine[] = []
  const durationMs = plan.seconds * 1000
  const promptCount = Math.round(plan.seconds * plan.requestsPerSecond * FIRST_REQUEST_SHARE)
  for (let prompt = 0; prompt < promptCount; prompt += 1) {
    const customer = chooseCustomer(plan.customers, random)
    let at = random() * durationMs
    let promptTokens = Math.round(MIN_PROMPT_TOKENS * (MAX_PROMPT_TOKENS / MIN_PROMPT_TOKENS) ** random())
    const returns = Math.floor(random() * 2 * (1 / FIRST_REQUEST_SHARE - 1) + random())
    for (let turn = 0; turn <= returns && at < durationMs; turn += 1) {
      lines.push({
        at: Math.round(at),
        customer,
        service: plan.service,
        promptId: `${plan.seed}-${prompt}`,
        promptTokens,
        sharedTokens: SHARED_TOKENS,
        answerTokens: ANSWER_TOKENS.least + Math.floor(random() * (ANSWER_TOKENS.most - ANSWER_TOKENS.least))
      })
      at += MIN_GAP_MS * (1 - random()) ** (-1 / GAP_PARETO_SHAPE)
      promptTokens += Math.floor(random() * MAX_GROWTH_TOKENS)
    }
  }
  return lines.sort((left, right) => left.at - right.at)
}

/**
 * Reads a recorded trace.
 *
 * @param text - JSON lines
 * @returns requests of the trace
 * @throws Error with the line and field of the first invalid request
 */
export function parseTrace (text: string): TraceLine[] {
  return text.split('\n').filter(line => line.trim() !== '').map((line, index) => {
    const parsed = traceLineSchema.safeParse(JSON.parse(line))
    if (parsed.success) return parsed.data
    const issue = parsed.error.issues[0]
    throw new Error(`trace line ${index + 1}: ${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`)
  })
}

function chooseCustomer (customers: readonly string[], random: () => number): string {
  const weights = customers.map((_, rank) => (rank + 1) ** -CUSTOMER_ZIPF_EXPONENT)
  let remaining = random() * weights.reduce((sum, weight) => sum + weight, 0)
  for (const [rank, weight] of weights.entries()) {
    remaining -= weight
    if (remaining <= 0) return customers[rank] ?? ''
  }
  return customers[0] ?? ''
}
