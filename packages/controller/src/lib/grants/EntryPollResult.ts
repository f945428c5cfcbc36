import type { EntryRecord, GrantsDocument } from '@dandelionlane/core';

/**
 * Result of polling an entry for its grants. `gone`: nothing listens at its address any more, so it
 * has no requests in flight, as an entry listens until the last of them ends. `silent`: the poll
 * failed in another way, and the entry's state is unknown.
 */
type EntryPollResult = | { readonly kind: 'document'; readonly entry: EntryRecord; readonly document: GrantsDocument }
  | { readonly kind: 'gone'; readonly entry: EntryRecord }
  | { readonly kind: 'silent'; readonly entry: EntryRecord };

export default EntryPollResult;
