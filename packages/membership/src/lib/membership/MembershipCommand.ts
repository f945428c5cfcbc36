import type { EntryRecord } from '@dandelionlane/core';
import type PeerMessage from '../messages/PeerMessage.js';
import type ReleaseHead from '../messages/ReleaseHead.js';
import type Member from './Member.js';
import type PeerTarget from './PeerTarget.js';

/** What a `Membership` asks its process to do. */
type MembershipCommand = | { readonly kind: 'send'; readonly to: PeerTarget; readonly message: PeerMessage }
  /** State, record or sequence in force of a member changed. */
  | { readonly kind: 'member-changed'; readonly member: Member }
  /** A peer, of any region, told its release head: a `peer-head` event for `ReleaseDissemination`. */
  | { readonly kind: 'head-heard'; readonly peer: EntryRecord; readonly head: ReleaseHead };

export default MembershipCommand;
