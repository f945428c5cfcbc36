import { EntryId, ReleaseSequence } from '@dandelionlane/core';
import { z } from 'zod';

/** Requests the accepted changes after a sequence from a peer. */
const ReleasePullRequest = z.object({
  kind: z.literal('release-pull-request'),
  sender: EntryId,
  after: ReleaseSequence,
});
type ReleasePullRequest = z.infer<typeof ReleasePullRequest>;

export default ReleasePullRequest;
