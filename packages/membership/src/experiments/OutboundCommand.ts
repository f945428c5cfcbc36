import type PeerTarget from '../lib/membership/PeerTarget.js';
import type PeerMessage from '../lib/messages/PeerMessage.js';
import type ReleaseDisseminationCommand from '../lib/release/ReleaseDisseminationCommand.js';

/** Commands of a `FakeEntry` that the `FakeNetwork` executes. */
type OutboundCommand = | { readonly kind: 'send'; readonly to: PeerTarget; readonly message: PeerMessage }
  | Exclude<ReleaseDisseminationCommand, { kind: 'announce' }>;

export default OutboundCommand;
