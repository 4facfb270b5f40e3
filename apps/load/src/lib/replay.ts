/** Open-loop replay of a trace against entry hosts. */
import { setTimeout as sleep } from 'node:timers/promises'
import { build } from 'hdr-histogram-js'
import { streamCompletion, type StreamedAnswer } from './completionStream.js'
import { isExpectedAnswer } from './isExpectedAnswer.js'
import { promptText } from './promptText.js'
import type { TraceLine } from './trace.js'

/** Entry hosts to replay against, and the credentials to use. */
export interface ReplayTarget {
  readonly urls: readonly string[]
  /** Credential by customer. */
  readonly credentials: ReadonlyMap<string, string>
}

/** Measurements of one replay. */
export interface ReplayResult {
  readonly requests: number
  readonly ttftP50Ms: number
  readonly ttftP95Ms: number
  readonly recomputedShare: number
  readonly refused: number
  /** Answers that are truncated, mix tokens of several versions or prompts, or repeat tokens. */
  readonly wrong: number
  /** Attempts after the first one, each sent to the next host, like those of a caller behind a load balancer. */
  readonly retried: number
  /** 95th percentile of the time to first token by customer, in milliseconds. */
  readonly ttftP95ByCustomer: Record<string, number>
  readonly problems: readonly string[]
}

/** Maximum attempts per request, each at the next host, if a host refuses before it runs the request or becomes unreachable. */
const MAX_ATTEMPTS = 3

/** Upper bound of the histograms, in tenths of a millisecond. */
const MAX_TRACKABLE_TENTHS_MS = 10 * 600_000

/**
 * Replays a trace and waits for all answers.
 *
 * @param lines - requests of the trace
 * @param target - entry hosts and credentials
 * @returns the measurements
 */
export async function replay (lines: readonly TraceLine[], target: ReplayTarget): Promise<ReplayResult> {
  const times = createHistogram()
  const timesByCustomer = new Map<string, ReturnType<typeof build>>()
  const totals = { promptTokens: 0, computedTokens: 0, refused: 0, wrong: 0, retried: 0 }
  const problems: string[] = []
  const startedAt = performance.now()
  const replayLine = async (line: TraceLine, index: number): Promise<void> => {
    await sleep(Math.max(0, startedAt + line.at - performance.now()))
    const prompt = promptText(line)
    const { answer, attempts, firstTokenMs } = await completeWithRetries(line, prompt, index, target)
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
    const customerTimes = timesByCustomer.get(line.customer) ?? createHistogram()
    timesByCustomer.set(line.customer, customerTimes)
    customerTimes.recordValue(10 * firstTokenMs)
  }
  await Promise.all(lines.map(replayLine))
  return {
    requests: lines.length,
    ttftP50Ms: times.getValueAtPercentile(50) / 10,
    ttftP95Ms: times.getValueAtPercentile(95) / 10,
    recomputedShare: totals.computedTokens / Math.max(1, totals.promptTokens),
    refused: totals.refused,
    wrong: totals.wrong,
    retried: totals.retried,
    ttftP95ByCustomer: Object.fromEntries([...timesByCustomer].map(([name, customerTimes]) => [name, customerTimes.getValueAtPercentile(95) / 10])),
    problems
  }
}

/** Sends a request, with retries. Measures the time to first token from the start of the first attempt. */
async function completeWithRetries (line: TraceLine, prompt: string, index: number, target: ReplayTarget): Promise<{ answer: StreamedAnswer, attempts: number, firstTokenMs: number }> {
  const startedAt = performance.now()
  for (let attempt = 1; ; attempt += 1) {
    const url = target.urls[(index + attempt) % target.urls.length] ?? ''
    const attemptedAt = performance.now()
    const answer = await streamCompletion({
      url, credential: target.credentials.get(line.customer) ?? '', service: line.service, prompt, maxTokens: line.answerTokens
    })
    const firstTokenMs = attemptedAt - startedAt + answer.firstTokenMs
    // A truncated completion can be requested again, because completions have no side effects.
    const mayRetry = answer.status === 0 || (answer.status === 200 && !answer.isDone) || isUnavailableHost(answer)
    if (!mayRetry || attempt >= MAX_ATTEMPTS) return { answer, attempts: attempt, firstTokenMs }
  }
}

function isUnavailableHost ({ problem }: StreamedAnswer): boolean {
  const type = typeof problem === 'object' && problem !== null && 'type' in problem ? String(problem.type) : ''
  return type.endsWith(':configuration-stale') || type.endsWith(':draining')
}

function createHistogram (): ReturnType<typeof build> {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: MAX_TRACKABLE_TENTHS_MS, numberOfSignificantValueDigits: 3 })
}
