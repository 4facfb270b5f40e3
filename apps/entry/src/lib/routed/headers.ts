/** Headers that are passed on between callers and endpoints. */

/** Hop-by-hop headers, which belong to one connection and are never forwarded. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization',
  'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'
])

const HOST = 'host'

/**
 * @param headers - alternating names and values
 * @param isDropped - called with a name in lower case; returns whether to leave out that header as well
 * @returns the end-to-end headers
 */
export function endToEndHeaders (headers: readonly string[], isDropped: (name: string) => boolean = () => false): string[] {
  const named = connectionNamed(headers)
  const kept: string[] = []
  for (let at = 0; at + 1 < headers.length; at += 2) {
    const name = (headers[at] ?? '').toLowerCase()
    if (CONNECTION_HEADERS.has(name) || named?.has(name) === true || isDropped(name)) continue
    kept.push(headers[at] ?? '', headers[at + 1] ?? '')
  }
  return kept
}

/** Returns the names that Connection headers list as hop-by-hop, in lower case. */
function connectionNamed (headers: readonly string[]): Set<string> | undefined {
  let named: Set<string> | undefined
  for (let at = 0; at + 1 < headers.length; at += 2) {
    if ((headers[at] ?? '').toLowerCase() !== 'connection') continue
    named ??= new Set()
    for (const name of (headers[at + 1] ?? '').split(',')) named.add(name.trim().toLowerCase())
  }
  return named
}

/**
 * @param headers - alternating names and values, as received
 * @returns false if they can't be passed on: a header has no name, or the request names several hosts
 */
export function areProperHeaders (headers: readonly string[]): boolean {
  let hosts = 0
  for (let at = 0; at < headers.length; at += 2) {
    const name = headers[at] ?? ''
    if (name === '') return false
    if (name.length === HOST.length && name.toLowerCase() === HOST) hosts += 1
  }
  return hosts <= 1
}
