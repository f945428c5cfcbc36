import type { EntryRecord } from '@dandelionlane/core';

/** Source from which accepted changes are pulled. */
type PullSource = | { readonly kind: 'store' }
  | { readonly kind: 'peer'; readonly peer: EntryRecord };

export default PullSource;
