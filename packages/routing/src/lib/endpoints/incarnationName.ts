import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'

/** Radix of the start time: load reports carry the name many times a second, and this takes 8 digits instead of 13. */
const NAME_RADIX = 36

/**
 * @param endpoint - list entry of the endpoint
 * @returns name of this incarnation of the endpoint; every host that knows its start computes the same name
 */
export function incarnationName ({ id, startedAtMs }: Pick<ListedEndpoint, 'id' | 'startedAtMs'>): string {
  return startedAtMs === undefined ? id : `${id}@${startedAtMs.toString(NAME_RADIX)}`
}
