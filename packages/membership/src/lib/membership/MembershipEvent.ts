import type { EntryId, EntryRecord } from '@dandelionlane/core';
import type PeerMessage from '../messages/PeerMessage.js';
import type ReleaseHead from '../messages/ReleaseHead.js';
import type PeerTarget from './PeerTarget.js';

/** What happens to a `Membership`. A `tick` is expected every `tickMilliseconds`. */
type MembershipEvent = | { readonly kind: 'tick' }
  /** A message arrived that `PeerMessage` accepted. */
  | { readonly kind: 'message'; readonly from: EntryId; readonly message: PeerMessage }
  /** Peers to contact, from the settings or the table service. Replaces the earlier list. */
  | { readonly kind: 'seeds'; readonly peers: readonly PeerTarget[] }
  /** The process begins its graceful shutdown. */
  | { readonly kind: 'leave' }
  /** A message could not be sent. A hint only. */
  | { readonly kind: 'send-failed'; readonly to: PeerTarget }
  /** The release head of this entry, as `ReleaseDissemination.head()` gives it. */
  | { readonly kind: 'release-head'; readonly head: ReleaseHead }
  /** A command of `ReleaseDissemination`, passed on: send `to` this entry's head. */
  | { readonly kind: 'announce'; readonly to: EntryRecord };

export default MembershipEvent;
