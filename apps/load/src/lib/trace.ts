/** Traces of prompts that return after gaps: recorded as JSON lines, or made from a seed. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { z } from 'zod'

/** One request of a trace. */
export const traceLineSchema = z.strictObject({
  /** Milliseconds from the start, after squeezing. */
  at: z.number().min(0),
  customer: z.string(),
  service: z.string(),
  promptId: z.string(),
  /** Length of the prompt in tokens. */
  promptTokens: z.number().int().min(1),
  /** Leading tokens that all prompts of this customer and service share. */
  sharedTokens: z.number().int().min(0),
  answerTokens: z.number().int().min(1)
})

export type TraceLine = z.infer<typeof traceLineSchema>

/** Shape of a made trace. */
export interface TracePlan {
  readonly seed: number
  readonly seconds: number
  readonly requestsPerSecond: number
  readonly customers: readonly string[]
  readonly service: string
}

/**
 * Real gaps run from minutes to days. One second of a trace stands for this many
 * seconds, so that a gap of 15 minutes becomes a second.
 */
export const TIME_COMPRESSION = 900

/** Share of requests that are a prompt's first. */
const FIRST_SHARE = 0.4

/**
 * Shape of the long tail of gaps (Pareto), and the shortest gap in milliseconds:
 * half an hour before squeezing, so that a prompt returns after its answer.
 */
const GAP_TAIL = 0.9
const SHORTEST_GAP_MS = 2000

/** Skew of customers: the largest takes about half, the next a quarter of the rest. */
const CUSTOMER_SKEW = 1.3

const SHARED_TOKENS = 256
const SHORTEST_PROMPT = 400
const LONGEST_PROMPT = 7000
const ANSWER_TOKENS = { least: 8, most: 40 }

/** Tokens that a returning prompt may have grown by. */
const GROWTH_TOKENS = 200

/**
 * Makes a trace. The same plan gives the same trace.
 *
 * @param plan - its shape
 * @returns lines by rising time
 */
export function makeTrace (plan: TracePlan): TraceLine[] {
  const generator = xoroshiro128plus(plan.seed)
  const random = (): number => uniformFloat64(generator)
  const lines: TraceLine[] = []
  const durationMs = plan.seconds * 1000
  const firsts = Math.round(plan.seconds * plan.requestsPerSecond * FIRST_SHARE)
  for (let prompt = 0; prompt < firsts; prompt += 1) {
    const customer = chooseCustomer(plan.customers, random)
    let at = random() * durationMs
    let promptTokens = Math.round(SHORTEST_PROMPT * (LONGEST_PROMPT / SHORTEST_PROMPT) ** random())
    const returns = Math.floor(random() * 2 * (1 / FIRST_SHARE - 1) + random())
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
      at += SHORTEST_GAP_MS * (1 - random()) ** (-1 / GAP_TAIL)
      promptTokens += Math.floor(random() * GROWTH_TOKENS)
    }
  }
  return lines.sort((left, right) => left.at - right.at)
}

/**
 * Reads a recorded trace.
 *
 * @param text - JSON lines
 * @returns the lines
 * @throws Error that names the line and field of the first mistake
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
  const weights = customers.map((_, rank) => (rank + 1) ** -CUSTOMER_SKEW)
  let remaining = random() * weights.reduce((sum, weight) => sum + weight, 0)
  for (const [rank, weight] of weights.entries()) {
    remaining -= weight
    if (remaining <= 0) return customers[rank] ?? ''
  }
  return customers[0] ?? ''
}
