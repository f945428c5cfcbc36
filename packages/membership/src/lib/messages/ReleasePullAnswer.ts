import { EntryId, ReleaseRecord, ReleaseState } from '@dandelionlane/core';
import { z } from 'zod';

const MAXIMUM_RECORDS = 1_000;

/** Answer to a `ReleasePullRequest`. */
const ReleasePullAnswer = z.discriminatedUnion('kind', [
  /** The changes that follow the sequence asked for, without a gap. */
  z.object({
    kind: z.literal('release-records'),
    sender: EntryId,
    records: z.array(ReleaseRecord).max(MAXIMUM_RECORDS),
  }),
  /** The whole state, when the peer no longer keeps the changes that were asked for. */
  z.object({ kind: z.literal('release-state'), sender: EntryId, state: ReleaseState }),
]);
type ReleasePullAnswer = z.infer<typeof ReleasePullAnswer>;

export default ReleasePullAnswer;
