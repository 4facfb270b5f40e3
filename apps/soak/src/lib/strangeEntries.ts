/** Entries of the endpoint list that the platform has not written. Each of their fields is valid by itself. */
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'

/** What is strange about an entry. */
export const STRANGE_ENTRIES = ['start time', 'id of another', 'address of another', 'slots', 'software', 'models'] as const
export type StrangeEntry = typeof STRANGE_ENTRIES[number]

/** An address at which nothing listens. */
const UNUSED_ADDRESS = '127.0.0.1:1'

/** More slots than any endpoint has. */
const MANY_SLOTS = 100_000

/**
 * @param sound - entry of an endpoint
 * @param strange - what is strange about the other entry
 * @param id - id that no endpoint has
 * @returns an entry that differs from the sound one
 */
export function toStrangeEntry (sound: ListedEndpoint, strange: StrangeEntry, id: string): ListedEndpoint {
  const other = { ...sound, id, address: UNUSED_ADDRESS }
  switch (strange) {
    case 'start time': return { ...other, startedAtMs: Date.now() }
    case 'id of another': return { ...other, id: sound.id, startedAtMs: Date.now() }
    case 'address of another': return { ...sound, id }
    case 'slots': return { ...other, slots: MANY_SLOTS }
    case 'software': return { ...other, software: 'strange' }
    case 'models': return { ...other, models: [] }
  }
}
