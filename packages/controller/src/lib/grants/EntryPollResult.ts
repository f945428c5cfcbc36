import type { EntryRecord, GrantsDocument } from '@dandelionlane/core';

/**
 * What an entry said of its grants. `gone`: nothing listens at its address any more,
 * and an entry listens for as long as it has requests in flight. `silent`: nothing
 * is known.
 */
type EntryPollResult = | { readonly kind: 'document'; readonly entry: EntryRecord; readonly document: GrantsDocument }
  | { readonly kind: 'gone'; readonly entry: EntryRecord }
  | { readonly kind: 'silent'; readonly entry: EntryRecord };

export default EntryPollResult;
