import type { EntryRecord } from '@dandelionlane/core';

/** Receiver of a message. */
type PeerTarget = | { readonly kind: 'entry'; readonly entry: EntryRecord }
  /** `host:port` of an entry whose record is not known yet. */
  | { readonly kind: 'address'; readonly address: string };

export default PeerTarget;
