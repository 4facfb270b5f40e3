/** Replays a trace, open loop, against entry hosts. */
import { setTimeout as sleep } from 'node:timers/promises'
import { build } from 'hdr-histogram-js'
import { streamCompletion, type StreamedAnswer } from './completionStream.js'
import { isExpectedAnswer } from './isExpectedAnswer.js'
import { promptText } from './promptText.js'
import type { TraceLine } from './trace.js'

/** Where and as whom to replay. */
export interface ReplayTarget {
  readonly urls: readonly string[]
  /** Credential of each customer. */
  readonly credentials: ReadonlyMap<string, string>
}

/** Measures of one replay. */
export interface ReplayResult {
  readonly requests: number
  readonly ttftP50Ms: number
  readonly ttftP95Ms: number
  readonly recomputedShare: number
  readonly refused: number
  /** Answers cut, mixed or doubled. */
  readonly wrong: number
  /** Attempts beyond the first, made as a caller behind a balancer makes them. */
  readonly retried: number
  /** Times to first token by customer, 95th percentile in milliseconds. */
  readonly ttftP95ByCustomer: Record<string, number>
  readonly problems: readonly string[]
}

/** Hosts tried one after another when one refuses before anything ran, or is gone. */
const ATTEMPTS = 3

/** Histogram bound, in tenths of a millisecond. */
const LONGEST = 10 * 600_000

/**
 * Replays a trace to its end.
 *
 * @param lines - the trace
 * @param target - where to send it
 * @returns measures
 */
export async function replay (lines: readonly TraceLine[], target: ReplayTarget): Promise<ReplayResult> {
  const times = histogram()
  const timesByCustomer = new Map<string, ReturnType<typeof build>>()
  const totals = { promptTokens: 0, computedTokens: 0, refused: 0, wrong: 0, retried: 0 }
  const problems: string[] = []
  const startedAt = performance.now()
  const one = async (line: TraceLine, turn: number): Promise<void> => {
    await sleep(Math.max(0, startedAt + line.at - performance.now()))
    const prompt = promptText(line)
    const { answer, attempts, firstTokenMs } = await ask(line, prompt, turn, target)
    totals.retried += attempts - 1
    if (answer.status !== 200) {
      totals.refused += 1
      if (problems.length < 10) problems.push(JSON.stringify(answer.problem))
      return
    }
    if (!isExpectedAnswer(answer, prompt, line.answerTokens)) {
      totals.wrong += 1
      if (problems.length < 10) problems.push(JSON.stringify({ ...answer, text: answer.text.length }))
      return
    }
    totals.promptTokens += answer.promptTokens
    totals.computedTokens += answer.promptTokens - answer.cachedTokens
    times.recordValue(10 * firstTokenMs)
    const own = timesByCustomer.get(line.customer) ?? histogram()
    timesByCustomer.set(line.customer, own)
    own.recordValue(10 * firstTokenMs)
  }
  await Promise.all(lines.map(one))
  return {
    requests: lines.length,
    ttftP50Ms: times.getValueAtPercentile(50) / 10,
    ttftP95Ms: times.getValueAtPercentile(95) / 10,
    recomputedShare: totals.computedTokens / Math.max(1, totals.promptTokens),
    refused: totals.refused,
    wrong: totals.wrong,
    retried: totals.retried,
    ttftP95ByCustomer: Object.fromEntries([...timesByCustomer].map(([name, own]) => [name, own.getValueAtPercentile(95) / 10])),
    problems
  }
}

/** Time to first token counts from the first attempt. */
async function ask (line: TraceLine, prompt: string, turn: number, target: ReplayTarget): Promise<{ answer: StreamedAnswer, attempts: number, firstTokenMs: number }> {
  const startedAt = performance.now()
  for (let attempt = 1; ; attempt += 1) {
    const url = target.urls[(turn + attempt) % target.urls.length] ?? ''
    const attemptedAt = performance.now()
    const answer = await streamCompletion({
      url, credential: target.credentials.get(line.customer) ?? '', service: line.service, prompt, maxTokens: line.answerTokens
    })
    const firstTokenMs = attemptedAt - startedAt + answer.firstTokenMs
    // A model answer that was cut may be asked for again: it has no effect outside.
    const mayRetry = answer.status === 0 || (answer.status === 200 && !answer.isDone) || isStaleHost(answer)
    if (!mayRetry || attempt >= ATTEMPTS) return { answer, attempts: attempt, firstTokenMs }
  }
}

function isStaleHost ({ problem }: StreamedAnswer): boolean {
  const type = typeof problem === 'object' && problem !== null && 'type' in problem ? String(problem.type) : ''
  return type.endsWith(':configuration-stale') || type.endsWith(':draining')
}

function histogram (): ReturnType<typeof build> {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: LONGEST, numberOfSignificantValueDigits: 3 })
}
