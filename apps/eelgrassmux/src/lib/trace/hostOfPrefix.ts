/** Finds the host name in the prefix that a log collector adds to a line. */

const MONTH_OR_DAY = /^(?:jan|feb|mar|apr|may|jun|jul|aug|sep|oct|nov|dec|mon|tue|wed|thu|fri|sat|sun)$/i

/** Matches dates, times, time zones, numbers and syslog priorities. */
const TIME_WORD = /^\d+>\d*$|^\d[\d\-:.,/TZ+]*$|^[+-]\d{2}:?\d{2}$|^(?:utc|gmt|z)$/i

const PUNCTUATION_AROUND = /^[^\p{L}\p{N}+-]+|[^\p{L}\p{N}]+$/gu

/** Matches IP addresses, which consist of digits like times but identify a host. */
const IP_ADDRESS = /^\d{1,3}(?:\.\d{1,3}){3}(?::\d+)?$/

/**
 * Returns the first word that is not part of a time. Log collectors have no common format,
 * but those that add a host name put it first or directly after the time.
 *
 * @param prefix - text before the log line
 * @returns the host name or IP address, or undefined if there is none
 */
export function hostOfPrefix (prefix: string): string | undefined {
  const words = prefix.split(/[\s|]+/).map(word => word.replace(PUNCTUATION_AROUND, '')).filter(word => word !== '')
  return words.find(word => IP_ADDRESS.test(word) || !(TIME_WORD.test(word) || MONTH_OR_DAY.test(word)))
}
