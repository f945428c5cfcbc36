import type { EntryId, EntryRecord } from '@dandelionlane/core';
import type PeerMessage from '../messages/PeerMessage.js';
import type ReleaseHead from '../messages/ReleaseHead.js';
import type PeerTarget from './PeerTarget.js';

/** Events that a `Membership` handles. A `tick` is expected every `tickMilliseconds`. */
type MembershipEvent = | { readonly kind: 'tick' }
  /** A message arrived that passed validation by `PeerMessage`. */
  | { readonly kind: 'message'; readonly from: EntryId; readonly message: PeerMessage }
  /** Peers to contact, from the settings or the table service. Replaces the earlier list. */
  | { readonly kind: 'seeds'; readonly peers: readonly PeerTarget[] }
  /** The process begins its graceful shutdown. */
  | { readonly kind: 'leave' }
  /** A message could not be sent. Only a hint; not proof of a failure. */
  | { readonly kind: 'send-failed'; readonly to: PeerTarget }
  /** The release head of this entry, from `ReleaseDissemination.head()`. */
  | { readonly kind: 'release-head'; readonly head: ReleaseHead }
  /** A forwarded command of `ReleaseDissemination`: sends the release head of this entry to `to`. */
  | { readonly kind: 'announce'; readonly to: EntryRecord };

export default MembershipEvent;
