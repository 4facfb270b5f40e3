/** Proposes commands to simulated control hosts as hosts and the command line do it. */
import { fail, succeed, type Result } from '@eelgrassmux/schema/Result'
import type { Command, CommandResult } from '@eelgrassmux/state/commands'
import type { ProposeError } from '@eelgrassmux/view/ControlLink'
import type { Simulation } from '../Simulation.js'
import type { SimulatedOutcome, SimulatedReplica } from './SimulatedReplica.js'

/** What a host or operator learns of one proposal. */
export type ProposalResult = Result<CommandResult, ProposeError>

/** Pause before another replica is asked, and time after which an answer is not waited for any more, in milliseconds. */
const RETRY_DELAY_MS = 30
const ANSWER_TIMEOUT_MS = 800

/** Tries replicas until one has applied the command. */
export class SimulatedProposer {
  /**
   * @param simulation - schedule
   * @param replicas - by name, as of now
   */
  constructor (private readonly simulation: Simulation, private readonly replicas: ReadonlyMap<string, SimulatedReplica>) {}

  /**
   * @param from - who proposes
   * @param command - what to apply
   * @param deadlineMs - how long to try
   * @param isAlive - whether the proposer still is the same process
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
