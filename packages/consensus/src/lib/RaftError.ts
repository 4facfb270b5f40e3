import type { FormationState } from './Formation.js'
import type { Replica } from './messages/raftMessages.js'

/** Why a request to the core was not taken. */
export type RaftError =
  | { readonly kind: 'not-leader', readonly leader: Replica | undefined }
  | { readonly kind: 'forming', readonly state: FormationState }
  | { readonly kind: 'change-in-progress' }
  | { readonly kind: 'learner-lags', readonly lag: number }
  | { readonly kind: 'unknown-replica', readonly id: string }
  | { readonly kind: 'is-leader', readonly id: string }
