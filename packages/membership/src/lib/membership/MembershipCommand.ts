import type { EntryRecord } from '@dandelionlane/core';
import type PeerMessage from '../messages/PeerMessage.js';
import type ReleaseHead from '../messages/ReleaseHead.js';
import type Member from './Member.js';
import type PeerTarget from './PeerTarget.js';

/** Commands from a `Membership` to its process. `send` sends a message to a peer. */
type MembershipCommand = | { readonly kind: 'send'; readonly to: PeerTarget; readonly message: PeerMessage }
  /** The state, record or sequence in force of a member changed. */
  | { readonly kind: 'member-changed'; readonly member: Member }
  /** A peer in any region reported its release head; pass it to `ReleaseDissemination` as `peer-head`. */
  | { readonly kind: 'head-heard'; readonly peer: EntryRecord; readonly head: ReleaseHead };

export default MembershipCommand;
