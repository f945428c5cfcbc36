import type PeerTarget from '../lib/membership/PeerTarget.js';
import type PeerMessage from '../lib/messages/PeerMessage.js';
import type ReleaseDisseminationCommand from '../lib/release/ReleaseDisseminationCommand.js';

/** Commands that leave a `FakeEntry`. */
type OutboundCommand = | { readonly kind: 'send'; readonly to: PeerTarget; readonly message: PeerMessage }
  | Exclude<ReleaseDisseminationCommand, { kind: 'announce' }>;

export default OutboundCommand;
