import type { FormationState } from './Formation.js'
import type { Replica } from './messages/raftMessages.js'

/** Reason why the core rejected a request. */
export type RaftError =
  | { readonly kind: 'not-leader', readonly leader: Replica | undefined }
  | { readonly kind: 'forming', readonly state: FormationState }
  | { readonly kind: 'change-in-progress' }
  | { readonly kind: 'learner-lags', readonly lag: number }
  | { readonly kind: 'unknown-replica', readonly id: string }
  | { readonly kind: 'is-leader', readonly id: string }
  | { readonly kind: 'address-in-use', readonly id: string }
  | { readonly kind: 'voter-unheard', readonly id: string }
