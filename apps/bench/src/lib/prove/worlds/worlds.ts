/** All worlds of the randomised runs. */
import type { WorldFactory } from '../World.js'
import { AgreementWorld } from './AgreementWorld.js'
import { ColdEndpointWorld } from './ColdEndpointWorld.js'
import { CrowdWorld } from './CrowdWorld.js'
import { DirectoryWorld } from './DirectoryWorld.js'
import { EndpointWorld } from './EndpointWorld.js'
import { EvacuationWorld } from './EvacuationWorld.js'
import { FormationWorld } from './FormationWorld.js'
import { QuarantineWorld } from './QuarantineWorld.js'
import { RecoveryWorld } from './RecoveryWorld.js'
import { RetryBudgetWorld } from './RetryBudgetWorld.js'
import { RunWorld } from './RunWorld.js'
import { SendWorld } from './SendWorld.js'
import { StreamVersionWorld } from './StreamVersionWorld.js'

export const WORLDS: readonly WorldFactory[] = [
  {
    name: 'agreement',
    promises: ['configuration-never-reverts', 'at-most-once', 'not-run-is-true', 'customers-apart'],
    create: (simulation, recorder, broken) => new AgreementWorld(simulation, recorder, broken)
  },
  {
    name: 'directory',
    promises: ['no-freed-or-partial-block', 'customers-apart'],
    create: (simulation, recorder, broken) => new DirectoryWorld(simulation, recorder, broken)
  },
  {
    name: 'runs',
    promises: ['whole-answers', 'one-weight-version', 'customers-apart', 'not-run-is-true', 'graceful-stop'],
    create: (simulation, recorder, broken) => new RunWorld(simulation, recorder, broken)
  },
  {
    name: 'endpoints',
    promises: ['leaving-gets-no-work'],
    create: (simulation, recorder, broken) => new EndpointWorld(simulation, recorder, broken)
  },
  {
    name: 'formation',
    promises: ['complete-before-commands'],
    create: (simulation, recorder, broken) => new FormationWorld(simulation, recorder, broken)
  },
  {
    name: 'quarantine',
    promises: ['poison-requests-stop', 'bystanders-are-served'],
    create: (simulation, recorder, broken) => new QuarantineWorld(simulation, recorder, broken)
  },
  {
    name: 'evacuation',
    promises: ['evacuations-hold'],
    create: (simulation, recorder, broken) => new EvacuationWorld(simulation, recorder, broken)
  },
  {
    name: 'cold-endpoints',
    promises: ['cold-endpoints-are-spared'],
    create: (simulation, recorder, broken) => new ColdEndpointWorld(simulation, recorder, broken)
  },
  {
    name: 'retry-budget',
    promises: ['retry-budget-kept'],
    create: (simulation, recorder, broken) => new RetryBudgetWorld(simulation, recorder, broken)
  },
  {
    name: 'stream-versions',
    promises: ['one-software-version', 'taken-up-streams-go-on'],
    create: (simulation, recorder, broken) => new StreamVersionWorld(simulation, recorder, broken)
  },
  {
    name: 'crowd',
    promises: ['crowds-are-shared'],
    create: (simulation, recorder, broken) => new CrowdWorld(simulation, recorder, broken)
  },
  {
    name: 'sends',
    promises: ['refused-calls-never-run', 'calls-run-once'],
    create: (simulation, recorder, broken) => new SendWorld(simulation, recorder, broken)
  },
  {
    name: 'recovery',
    promises: ['groups-survive-lost-disks'],
    create: (simulation, recorder, broken) => new RecoveryWorld(simulation, recorder, broken)
  }
]
