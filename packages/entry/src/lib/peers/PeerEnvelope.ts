import { z } from 'zod';
import { EntryId, ReleaseSequence, ReleaseState } from '@dandelionlane/core';
import { PeerMessage } from '@dandelionlane/membership';

/** Frame between entries, encoded with MessagePack. */
const PeerEnvelope = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('membership'), from: EntryId, message: PeerMessage }),
  /** Asks for the accepted state if the receiver's is newer. */
  z.object({ kind: z.literal('release-pull'), from: EntryId, after: ReleaseSequence }),
  z.object({ kind: z.literal('release-state'), from: EntryId, state: ReleaseState }),
]);
type PeerEnvelope = z.infer<typeof PeerEnvelope>;

export default PeerEnvelope;
