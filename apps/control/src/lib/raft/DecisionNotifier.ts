/** Tells of decisions about commands while a group forms, once for each change. */
import type { FormationState } from '@eelgrassmux/consensus/Formation'

/** What a leader decided about a command. */
export interface CommandDecision {
  /** False if it was held back because the group is not complete yet. */
  readonly isTaken: boolean
  readonly term: number
  /** What the decision rests on. */
  readonly formation: FormationState
}

/** Passes on a decision that differs from the one before in its outcome or its membership. */
export class DecisionNotifier {
  #last: CommandDecision | undefined

  /** @param notify - takes each decision that is new */
  constructor (private readonly notify: (decision: CommandDecision) => void) {}

  /** @param decision - made just now */
  observe (decision: CommandDecision): void {
    const last = this.#last
    this.#last = decision
    const isSame = last?.isTaken === decision.isTaken && last.formation.membershipIndex === decision.formation.membershipIndex
    if (!isSame) this.notify(decision)
  }
}
