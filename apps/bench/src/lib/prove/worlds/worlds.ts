/** All worlds of the randomised runs. */
import type { WorldFactory } from '../World.js'
import { AgreementWorld } from './AgreementWorld.js'
import { ColdEndpointWorld } from './ColdEndpointWorld.js'
import { DirectoryWorld } from './DirectoryWorld.js'
import { EndpointWorld } from './EndpointWorld.js'
import { EvacuationWorld } from './EvacuationWorld.js'
import { FormationWorld } from './FormationWorld.js'
import { QuarantineWorld } from './QuarantineWorld.js'
import { RunWorld } from './RunWorld.js'

export const WORLDS: readonly WorldFactory[] = [
  {
    name: 'agreement',
    promises: ['configuration-never-reverts', 'at-most-once', 'not-run-is-true', 'customers-apart'],
    create: (simulation, ledger, broken) => new AgreementWorld(simulation, ledger, broken)
  },
  {
    name: 'directory',
    promises: ['no-freed-or-partial-block', 'customers-apart'],
    create: (simulation, ledger, broken) => new DirectoryWorld(simulation, ledger, broken)
  },
  {
    name: 'runs',
    promises: ['whole-answers', 'one-weight-version', 'customers-apart', 'not-run-is-true', 'graceful-stop'],
    create: (simulation, ledger, broken) => new RunWorld(simulation, ledger, broken)
  },
  {
    name: 'endpoints',
    promises: ['leaving-gets-no-work'],
    create: (simulation, ledger, broken) => new EndpointWorld(simulation, ledger, broken)
  },
  {
    name: 'formation',
    promises: ['complete-before-commands'],
    create: (simulation, ledger, broken) => new FormationWorld(simulation, ledger, broken)
  },
  {
    name: 'quarantine',
    promises: ['poison-requests-stop', 'bystanders-are-served'],
    create: (simulation, ledger, broken) => new QuarantineWorld(simulation, ledger, broken)
  },
  {
    name: 'evacuation',
    promises: ['evacuations-hold'],
    create: (simulation, ledger, broken) => new EvacuationWorld(simulation, ledger, broken)
  },
  {
    name: 'cold-endpoints',
    promises: ['cold-endpoints-are-spared'],
    create: (simulation, ledger, broken) => new ColdEndpointWorld(simulation, ledger, broken)
  }
]
