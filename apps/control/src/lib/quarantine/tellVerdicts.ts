/** Verdicts as views carry them. */
import type { ToldVerdict } from '@eelgrassmux/schema/requestVerdict'
import type { VerdictRegister } from '@eelgrassmux/state/VerdictRegister'

/** The part of a view that is about verdicts; what is absent is empty. */
export interface ToldVerdicts {
  verdicts?: ToldVerdict[]
  verdictsGone?: string[]
}

/**
 * @param register - all verdicts
 * @param judged - requests on which the verdict has changed; undefined to tell all
 * @param clock - wall clock in milliseconds, by which verdicts end
 */
export function tellVerdicts (register: VerdictRegister, judged: readonly string[] | undefined, clock: number): ToldVerdicts {
  const changed = judged === undefined ? register.all : [...new Set(judged)].flatMap(fingerprint => register.find(fingerprint) ?? [])
  const gone = [...new Set(judged)].filter(fingerprint => register.find(fingerprint) === undefined)
  const verdicts = changed.map(({ endsAt, ...verdict }) => ({ ...verdict, leftMs: Math.max(0, endsAt - clock) }))
  return { ...(verdicts.length === 0 ? {} : { verdicts }), ...(gone.length === 0 ? {} : { verdictsGone: gone }) }
}
