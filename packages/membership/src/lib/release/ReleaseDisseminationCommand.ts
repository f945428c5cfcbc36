import type { EntryRecord, ReleaseSequence } from '@dandelionlane/core';

/**
 * Commands from a `ReleaseDissemination` to its process. `poll-store`: read the head row and
 * answer with `store-head` or `poll-failed`.
 */
type ReleaseDisseminationCommand = | { readonly kind: 'poll-store' }
  /** Read the changes after a sequence from the store and answer with `in-force` or `pull-failed`. */
  | { readonly kind: 'read-store'; readonly after: ReleaseSequence }
  /** Pull the changes after a sequence from a peer and answer with `in-force` or `pull-failed`. */
  | { readonly kind: 'pull-from'; readonly peer: EntryRecord; readonly after: ReleaseSequence }
  /** Send this entry's head to a peer: pass this to `Membership` as an event, which creates the message. */
  | { readonly kind: 'announce'; readonly to: EntryRecord };

export default ReleaseDisseminationCommand;
