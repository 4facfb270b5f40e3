import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'

/** Radix of the start: 8 digits in place of 13, because load reports carry the name many times a second. */
const NAME_RADIX = 36

/**
 * @param endpoint - as listed
 * @returns name of this incarnation among all of the endpoint, alike on every host that knows its start
 */
export function incarnationName ({ id, startedAtMs }: Pick<ListedEndpoint, 'id' | 'startedAtMs'>): string {
  return startedAtMs === undefined ? id : `${id}@${startedAtMs.toString(NAME_RADIX)}`
}
