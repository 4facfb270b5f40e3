/** Store source for the soak, whose sites have no stores for kept prompts. */
import type { StoreEvents, StoreListing, StoreSource } from '@eelgrassmux/control/stores/StoreFollower'
import { fail, type Result } from '@eelgrassmux/schema/Result'

/** Failure of every call: there is no store. */
interface NoStoreError { readonly kind: 'no-store' }

/** {@link StoreSource} for sites without stores. */
export class NoStores implements StoreSource {
  async events (): Promise<Result<StoreEvents, NoStoreError>> { return fail({ kind: 'no-store' }) }
  async listing (): Promise<Result<StoreListing, NoStoreError>> { return fail({ kind: 'no-store' }) }
  async free (): Promise<Result<true, NoStoreError>> { return fail({ kind: 'no-store' }) }
}
