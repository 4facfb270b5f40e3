/** Calls plain services from scripts and tests. */
import { request } from 'undici'

/**
 * Posts to a plain service with an idempotency key.
 *
 * @param url - URL of an entry host
 * @param credential - credential of the caller
 * @param path - path below `/services`
 * @param body - JSON body
 * @param key - idempotency key
 * @returns status, body and whether the answer is a stored one
 */
export async function postOnce (url: string, credential: string, path: string, body: object, key: string): Promise<{ status: number, body: string, isRepeat: boolean }> {
  const response = await request(`${url}/services/${path}`, {
    method: 'POST',
    headers: { authorization: `Bearer ${credential}`, 'content-type': 'application/json', 'idempotency-key': key },
    body: JSON.stringify(body)
  })
  return { status: response.statusCode, body: await response.body.text(), isRepeat: response.headers['eelgrassmux-repeated'] === 'true' }
}
