/** The profiles of the two users, as in the shipped examples. */
import type { Profile } from '@eelgrassmux/schema/configuration'

/** Gives priority to a short time to the first token. */
export const TMTS_PROFILE: Profile = {
  kind: 'profile',
  name: 'tmts',
  // Computing a token also delays other requests: at 8 tokens per millisecond, this weight counts its time two more times.
  weights: { firstTokenMillisecond: 1, recomputedToken: 0.25, linkKilobyte: 0.0005 },
  deadlineMs: 30_000,
  firstTokenLimitMs: 5000,
  keep: 'by-value',
  returnChance: 0.6,
  expectedGapSeconds: 900,
  retries: 3,
  hedgeAfterMs: 0,
  priority: 5
}

/** Gives priority to little recomputation and low link use. */
export const LSCSA_PROFILE: Profile = {
  kind: 'profile',
  name: 'lscsa',
  weights: { firstTokenMillisecond: 0.05, recomputedToken: 1, linkKilobyte: 0.01 },
  deadlineMs: 60_000,
  firstTokenLimitMs: 20_000,
  keep: 'by-value',
  returnChance: 0.8,
  expectedGapSeconds: 172_800,
  retries: 3,
  hedgeAfterMs: 0,
  priority: 3
}
