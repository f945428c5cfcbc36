import { EntryId, ReleaseSequence } from '@dandelionlane/core';
import { z } from 'zod';

/** Asks a peer for the accepted changes after a sequence. */
const ReleasePullRequest = z.object({
  kind: z.literal('release-pull-request'),
  sender: EntryId,
  after: ReleaseSequence,
});
type ReleasePullRequest = z.infer<typeof ReleasePullRequest>;

export default ReleasePullRequest;
