/** Headers that belong to one connection and are never passed on. */

const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization',
  'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'
])

/**
 * @param headers - names and values by turns
 * @param isDropped - further names to leave out, given in lower case
 * @returns the headers that concern the request or answer itself
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

/** Names that a Connection header lists as concerning only this connection. */
function connectionNamed (headers: readonly string[]): Set<string> | undefined {
  let named: Set<string> | undefined
  for (let at = 0; at + 1 < headers.length; at += 2) {
    if ((headers[at] ?? '').toLowerCase() !== 'connection') continue
    named ??= new Set()
    for (const name of (headers[at + 1] ?? '').split(',')) named.add(name.trim().toLowerCase())
  }
  return named
}
