import type { EntryRecord, ReleaseSequence } from '@dandelionlane/core';

/**
 * What a `ReleaseDissemination` asks its process to do. `poll-store`: read the head row;
 * answer with `store-head` or `poll-failed`.
 */
type ReleaseDisseminationCommand = | { readonly kind: 'poll-store' }
  /** Read the changes after a sequence from the store; answer with `in-force` or `pull-failed`. */
  | { readonly kind: 'read-store'; readonly after: ReleaseSequence }
  /** Take the changes after a sequence from a peer; answer with `in-force` or `pull-failed`. */
  | { readonly kind: 'pull-from'; readonly peer: EntryRecord; readonly after: ReleaseSequence }
  /** Tell a peer the own head: pass it to `Membership` as an event, which makes the message. */
  | { readonly kind: 'announce'; readonly to: EntryRecord };

export default ReleaseDisseminationCommand;
