/** Converts refusals to problem details (RFC 9457). */
import type { Refusal } from '@eelgrassmux/schema/Refusal'

const PROBLEM_TYPE = 'urn:eelgrassmux:problem:'

/** JSON body of a refusal. */
export interface Problem {
  readonly type: string
  readonly title: string
  readonly status: number
  readonly detail: string
  readonly run: 'not-run' | 'unknown'
  readonly field?: string
  readonly retryAfterSeconds?: number
}

/**
 * @param refusal - refusal to convert
 * @returns the problem body
 */
export function toProblem (refusal: Refusal): Problem {
  return {
    type: PROBLEM_TYPE + refusal.reason,
    title: refusal.reason.replaceAll('-', ' '),
    status: refusal.status,
    detail: refusal.detail,
    run: refusal.run,
    ...(refusal.field === undefined ? {} : { field: refusal.field }),
    ...(refusal.retryAfterSeconds === undefined ? {} : { retryAfterSeconds: refusal.retryAfterSeconds })
  }
}

/**
 * @param refusal - refusal to convert
 * @returns the response with body and headers
 */
export function problemResponse (refusal: Refusal): Response {
  const headers = new Headers({ 'content-type': 'application/problem+json' })
  if (refusal.retryAfterSeconds !== undefined) headers.set('retry-after', String(refusal.retryAfterSeconds))
  return new Response(JSON.stringify(toProblem(refusal)), { status: refusal.status, headers })
}
