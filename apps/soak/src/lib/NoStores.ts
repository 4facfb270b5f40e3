/** The soak's sites have no stores of kept prompts. */
import type { StoreEvents, StoreListing, StoreSource } from '@eelgrassmux/control/stores/StoreFollower'
import { fail, type Result } from '@eelgrassmux/schema/Result'

/** Why a store says nothing. */
interface NoStoreError { readonly kind: 'no-store' }

/** {@link StoreSource} of a site without stores. */
export class NoStores implements StoreSource {
  async events (): Promise<Result<StoreEvents, NoStoreError>> { return fail({ kind: 'no-store' }) }
  async listing (): Promise<Result<StoreListing, NoStoreError>> { return fail({ kind: 'no-store' }) }
  async free (): Promise<Result<true, NoStoreError>> { return fail({ kind: 'no-store' }) }
}
