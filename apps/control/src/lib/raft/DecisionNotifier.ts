/** Reports whether a forming group accepts commands, once for each change of the decision. */
import type { FormationState } from '@eelgrassmux/consensus/Formation'

/** Decision of a leader whether to accept a command. */
export interface CommandDecision {
  /** False if the command was refused because the group is not complete yet. */
  readonly isTaken: boolean
  readonly term: number
  /** State of the group that the decision is based on. */
  readonly formation: FormationState
}

/** Forwards a decision if its outcome or its membership differs from the previous one. */
export class DecisionNotifier {
  #last: CommandDecision | undefined

  /** @param notify - called with each new decision */
  constructor (private readonly notify: (decision: CommandDecision) => void) {}

  /** @param decision - latest decision */
  observe (decision: CommandDecision): void {
    const last = this.#last
    this.#last = decision
    const isSame = last?.isTaken === decision.isTaken && last.formation.membershipIndex === decision.formation.membershipIndex
    if (!isSame) this.notify(decision)
  }
}
