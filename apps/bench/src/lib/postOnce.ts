/** A caller of plain services for scripts and tests. */
import { request } from 'undici'

/**
 * Posts to a plain service.
 *
 * @param url - entry host
 * @param credential - caller's credential
 * @param path - below `/services`
 * @param body - JSON body
 * @param key - idempotency key
 * @returns status, body and whether the answer was a stored one
 */
export async function postOnce (url: string, credential: string, path: string, body: object, key: string): Promise<{ status: number, body: string, isRepeat: boolean }> {
  const response = await request(`${url}/services/${path}`, {
    method: 'POST',
    headers: { authorization: `Bearer ${credential}`, 'content-type': 'application/json', 'idempotency-key': key },
    body: JSON.stringify(body)
  })
  return { status: response.statusCode, body: await response.body.text(), isRepeat: response.headers['eelgrassmux-repeated'] === 'true' }
}
