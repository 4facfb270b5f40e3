/** Thread of many callers; see CallersWithDeadline.ts. */
import { setTimeout as sleep } from 'node:timers/promises'
import { parentPort, workerData } from 'node:worker_threads'
import type { CalledHost, CallerReport, CallersOrder } from './CallersWithDeadline.js'
import { CALLER_DEADLINE_MS, CallerWithDeadline } from './CallerWithDeadline.js'
import { OwnDelay } from './OwnDelay.js'

const { name, count, durationMs } = workerData as CallersOrder
const ownDelay = new OwnDelay()

/** Time between the starts of two callers, in milliseconds. */
const START_INTERVAL_MS = 1

/** Time in which a request is on its way to the host, in milliseconds. */
const SENDING_MS = 300

/** Returns how late this thread sent the request, and handled an end after the deadline, in milliseconds. */
function ownDelayOf (sentAt: number, endedAt: number): number {
  return ownDelay.within(sentAt, sentAt + SENDING_MS) + ownDelay.within(sentAt + CALLER_DEADLINE_MS, endedAt)
}

let host: CalledHost
parentPort?.on('message', (current: CalledHost) => { host = current })
const callers = Array.from({ length: count }, (_, index) => new CallerWithDeadline(`${name}-${index}`, () => host, {
  onSent: sent => { parentPort?.postMessage({ sent } satisfies CallerReport) },
  onEnd: (outcome, isGivenUp) => {
    parentPort?.postMessage({ outcome, isGivenUp, ownDelayMs: ownDelayOf(outcome.request.sentAt, outcome.endedAt) } satisfies CallerReport)
  }
}))
const running = Promise.all(callers.map(async (caller, index) => {
  await sleep(index * START_INTERVAL_MS)
  await caller.run()
}))
await sleep(durationMs)
for (const caller of callers) caller.stop()
await running
ownDelay.close()
parentPort?.close()
