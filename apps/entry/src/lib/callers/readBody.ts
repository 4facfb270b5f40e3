/** Reads request bodies up to a size limit. */
import { DispatchRecord, refuse, type Refusal, type RefusalDetails } from '@eelgrassmux/schema/Refusal'
import { fail, succeed, type Result } from '@eelgrassmux/schema/Result'
import type { z } from 'zod'

/**
 * Builds a refusal of a request that was not sent to any endpoint.
 *
 * @param details - reason, status and detail
 * @returns a refusal marked as not run
 */
export function refuseUndispatched (details: RefusalDetails): Refusal {
  return refuse(details, new DispatchRecord())
}

/**
 * Reads a complete body, and refuses one that exceeds the limit.
 *
 * @param request - the caller's request
 * @param limitBytes - size limit
 * @returns the bytes, or a refusal
 */
export async function readBody (request: Request, limitBytes: number): Promise<Result<Uint8Array, Refusal>> {
  const tooLarge = refuseUndispatched({ reason: 'body-too-large', status: 413, detail: `the body is larger than ${limitBytes} bytes`, field: 'body' })
  if (Number(request.headers.get('content-length') ?? 0) > limitBytes) return fail(tooLarge)
  const parts: Uint8Array[] = []
  let total = 0
  if (request.body !== null) {
    for await (const part of request.body) {
      total += part.length
      if (total > limitBytes) return fail(tooLarge)
      parts.push(part)
    }
  }
  return succeed(Buffer.concat(parts))
}

/**
 * Parses and validates a JSON body.
 *
 * @param bytes - encoded body
 * @param schema - schema of the body
 * @returns the validated body, or a refusal that names the invalid field
 */
export function parseJson<Body> (bytes: Uint8Array, schema: z.ZodType<Body>): Result<Body, Refusal> {
  let value: unknown
  try {
    value = JSON.parse(Buffer.from(bytes).toString('utf8'))
  } catch (error) {
    return fail(refuseUndispatched({ reason: 'malformed-json', status: 400, detail: String(error), field: 'body' }))
  }
  const parsed = schema.safeParse(value)
  if (parsed.success) return succeed(parsed.data)
  const issue = parsed.error.issues[0]
  const unknownKeys = issue?.code === 'unrecognized_keys' ? issue.keys : []
  const field = [...issue?.path ?? [], ...unknownKeys.slice(0, 1)].join('.')
  return fail(refuseUndispatched({ reason: 'invalid-body', status: 400, detail: issue?.message ?? 'invalid', field: field === '' ? 'body' : field }))
}
