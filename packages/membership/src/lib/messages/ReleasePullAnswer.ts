import { EntryId, ReleaseRecord, ReleaseState } from '@dandelionlane/core';
import { z } from 'zod';

const MAXIMUM_RECORDS = 1_000;

/** Answer to a `ReleasePullRequest`. */
const ReleasePullAnswer = z.discriminatedUnion('kind', [
  /** The changes after the requested sequence, without a gap. */
  z.object({
    kind: z.literal('release-records'),
    sender: EntryId,
    records: z.array(ReleaseRecord).max(MAXIMUM_RECORDS),
  }),
  /** The whole state, if the peer no longer keeps the requested changes. */
  z.object({ kind: z.literal('release-state'), sender: EntryId, state: ReleaseState }),
]);
type ReleasePullAnswer = z.infer<typeof ReleasePullAnswer>;

export default ReleasePullAnswer;
