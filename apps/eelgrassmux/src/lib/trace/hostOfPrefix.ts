/** Host's name in what a log collector puts before a line. */

const MONTH_OR_DAY = /^(?:jan|feb|mar|apr|may|jun|jul|aug|sep|oct|nov|dec|mon|tue|wed|thu|fri|sat|sun)$/i

/** Dates, times, zones, numbers, priorities of syslog. */
const TIME_WORD = /^\d+>\d*$|^\d[\d\-:.,/TZ+]*$|^[+-]\d{2}:?\d{2}$|^(?:utc|gmt|z)$/i

const PUNCTUATION_AROUND = /^[^\p{L}\p{N}+-]+|[^\p{L}\p{N}]+$/gu

/** Of digits as well, but a host's name. */
const IP_ADDRESS = /^\d{1,3}(?:\.\d{1,3}){3}(?::\d+)?$/

/**
 * The first word that is no part of a time. Collectors agree on no format, but all of
 * them that name the host put its name first or right after the time.
 *
 * @param prefix - what stands before the log line
 * @returns the name, or undefined if there is none
 */
export function hostOfPrefix (prefix: string): string | undefined {
  const words = prefix.split(/[\s|]+/).map(word => word.replace(PUNCTUATION_AROUND, '')).filter(word => word !== '')
  return words.find(word => IP_ADDRESS.test(word) || !(TIME_WORD.test(word) || MONTH_OR_DAY.test(word)))
}
