import { ReleaseNote, ReleaseSequence } from '@dandelionlane/core';
import type { z } from 'zod';

/**
 * A release note as written in a file. If `writtenAgainst` is absent, the publisher sets
 * it to the sequence that it reads when it publishes.
 */
const ReleaseNoteDraft = ReleaseNote.extend({ writtenAgainst: ReleaseSequence.optional() });
type ReleaseNoteDraft = z.infer<typeof ReleaseNoteDraft>;

export default ReleaseNoteDraft;
