/**
 * Lists the names of a message once, so that its entries refer to them by position. Each name is stored as the length
 * of the beginning that it shares with the name before and the length of its rest, in one character each, and the rest:
 * names of endpoints mostly differ only at their end, and a third of a question would consist of their common
 * beginnings. All names form one string, because validating each by itself takes longer than decoding them.
 */

/** Longest shared beginning. A character up to it takes one byte in UTF-8. */
const MAX_SHARED_LENGTH = 127

/** Highest character of a shared beginning, so that no character that takes several code units is split. */
const MAX_SHARED_CHARACTER = 127

/** Names of a message that is being encoded. */
export class NameTable {
  readonly #names: string[] = []
  readonly #positions = new Map<string, number>()

  /**
   * @param name - a name, which is added if it is new
   * @returns position of the name
   */
  position (name: string): number {
    const known = this.#positions.get(name)
    if (known !== undefined) return known
    this.#positions.set(name, this.#names.length)
    return this.#names.push(name) - 1
  }

  /** @returns the encoded names, in the order of their positions */
  encode (): string {
    let text = ''
    let previous = ''
    for (const name of this.#names) {
      const shared = sharedLength(previous, name)
      text += String.fromCharCode(shared, name.length - shared) + name.slice(shared)
      previous = name
    }
    return text
  }
}

/**
 * @param text - encoded names
 * @param maxLength - longest name allowed, in characters
 * @returns the names, in the order of their positions
 * @throws RangeError if the text is not a list of encoded names
 */
export function decodeNames (text: string, maxLength: number): string[] {
  const names: string[] = []
  let previous = ''
  for (let at = 0; at < text.length;) {
    const shared = text.charCodeAt(at)
    const end = at + 2 + text.charCodeAt(at + 1)
    // The end is not a number if the text ends before it, and the comparison is then false.
    if (shared > previous.length || !(end <= text.length) || shared + end - at - 2 > maxLength) throw new RangeError(`no name at character ${at}`)
    previous = previous.slice(0, shared) + text.slice(at + 2, end)
    names.push(previous)
    at = end
  }
  return names
}

function sharedLength (previous: string, name: string): number {
  const limit = Math.min(previous.length, name.length, MAX_SHARED_LENGTH)
  let length = 0
  while (length < limit && name.charCodeAt(length) === previous.charCodeAt(length) && name.charCodeAt(length) <= MAX_SHARED_CHARACTER) length += 1
  return length
}
