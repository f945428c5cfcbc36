import { z } from 'zod';
import { EntryId, ReleaseSequence, ReleaseState } from '@dandelionlane/core';
import { PeerMessage } from '@dandelionlane/membership';

/** Frame sent between entries, encoded with MessagePack. */
const PeerEnvelope = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('membership'), from: EntryId, message: PeerMessage }),
  /** Requests the receiver's accepted release state if its sequence is greater than `after`. */
  z.object({ kind: z.literal('release-pull'), from: EntryId, after: ReleaseSequence }),
  z.object({ kind: z.literal('release-state'), from: EntryId, state: ReleaseState }),
]);
type PeerEnvelope = z.infer<typeof PeerEnvelope>;

export default PeerEnvelope;
