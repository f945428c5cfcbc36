import type { EntryRecord } from '@dandelionlane/core';

/** Where accepted changes are taken from. */
type PullSource = | { readonly kind: 'store' }
  | { readonly kind: 'peer'; readonly peer: EntryRecord };

export default PullSource;
