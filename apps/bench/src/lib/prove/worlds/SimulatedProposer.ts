/** Proposes commands to simulated control hosts in the same way as hosts and the command line do. */
import { fail, succeed, type Result } from '@eelgrassmux/schema/Result'
import type { Command, CommandResult } from '@eelgrassmux/state/commands'
import type { ProposeError } from '@eelgrassmux/view/ControlLink'
import type { Simulation } from '../Simulation.js'
import type { SimulatedOutcome, SimulatedReplica } from './SimulatedReplica.js'

/** Result of a proposal as its proposer sees it. */
export type ProposalResult = Result<CommandResult, ProposeError>

/** Delay before the next attempt, and timeout of one attempt, in milliseconds. */
const RETRY_DELAY_MS = 30
const ANSWER_TIMEOUT_MS = 800

/** Retries a proposal on different replicas until one of them has applied the command. */
export class SimulatedProposer {
  /**
   * @param simulation - the seeded schedule
   * @param replicas - current replicas by name
   */
  constructor (private readonly simulation: Simulation, private readonly replicas: ReadonlyMap<string, SimulatedReplica>) {}

  /**
   * @param from - name of the proposer
   * @param command - command to apply
   * @param deadlineMs - how long to retry
   * @param isAlive - whether the proposing process still runs
   */
  async propose (from: string, command: Command, deadlineMs: number, isAlive: () => boolean): Promise<ProposalResult> {
    const deadline = this.simulation.now() + deadlineMs
    let mayHaveApplied = false
    let hint: string | undefined
    while (this.simulation.now() < deadline && isAlive()) {
      const target = hint ?? this.simulation.pickFrom([...this.replicas.keys()])
      const outcome = await this.#proposeOnce(from, target, command)
      if (outcome.kind === 'applied') return succeed(outcome.result)
      if (outcome.kind === 'uncertain') mayHaveApplied = true
      hint = outcome.kind === 'not-leader' ? outcome.leader : undefined
      await this.simulation.sleep(RETRY_DELAY_MS)
    }
    return fail({ kind: mayHaveApplied ? 'uncertain' : 'not-proposed' })
  }

  async #proposeOnce (from: string, target: string, command: Command): Promise<SimulatedOutcome> {
    return await new Promise(resolve => {
      this.simulation.schedule(ANSWER_TIMEOUT_MS, () => { resolve({ kind: 'uncertain' }) })
      this.simulation.send(from, target, () => {
        const replica = this.replicas.get(target)
        if (replica?.isAlive !== true) return
        replica.propose(command, outcome => {
          this.simulation.send(target, from, () => { resolve(outcome) })
        })
      })
    })
  }
}
