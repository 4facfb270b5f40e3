/** Many callers of one host, on a thread of their own, so that what else the soak does delays no answer. */
import { once } from 'node:events'
import { Worker } from 'node:worker_threads'
import type { AnswersInTimeCheck } from './checks/AnswersInTimeCheck.js'
import type { Outcome, SentRequest } from './observations.js'
import type { Incarnation, ProcessSlot } from './ProcessSlot.js'
import type { RequestHistory } from './RequestHistory.js'

/** What the thread has to do. */
export interface CallersOrder {
  /** Unique prefix of the ids of the requests. */
  readonly name: string
  readonly count: number
  /** Time after which no further call is sent, in milliseconds. */
  readonly durationMs: number
}

/** The process that is called; undefined while none runs. */
export type CalledHost = Pick<Incarnation, 'label' | 'addresses'> | undefined

/** What the thread reports: a request that is sent, or one that has ended. */
export type CallerReport =
  | { readonly sent: SentRequest }
  | { readonly outcome: Outcome, readonly isGivenUp: boolean, readonly ownDelayMs: number }

/** Interval at which the thread is told which process runs, in milliseconds. */
const HOST_INTERVAL_MS = 50

/**
 * @param order - callers and how long they call
 * @param host - entry host that they all call
 * @param history - told of each request
 * @param check - told of the end of each request
 * @returns a promise that resolves when the last request has ended
 */
export async function runCallersWithDeadline (order: CallersOrder, host: ProcessSlot, history: RequestHistory, check: AnswersInTimeCheck): Promise<void> {
  const worker = new Worker(new URL('./callersThread.js', import.meta.url.replace('/src/lib/', '/dist/lib/')), { workerData: order })
  const timer = setInterval(() => {
    const { current } = host
    worker.postMessage(current === undefined ? undefined : { label: current.label, addresses: current.addresses } satisfies CalledHost)
  }, HOST_INTERVAL_MS)
  worker.on('message', (report: CallerReport) => {
    if ('sent' in report) {
      history.recordRequest(report.sent)
      return
    }
    const { outcome, isGivenUp, ownDelayMs } = report
    check.recordEnd(outcome.request, outcome.endedAt, ownDelayMs)
    if (!isGivenUp) history.recordOutcome(outcome)
  })
  await once(worker, 'exit')
  clearInterval(timer)
}
