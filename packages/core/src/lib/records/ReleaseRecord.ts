import { z } from 'zod';
import Nonce from '../ids/Nonce.js';
import ReleaseSequence from '../ids/ReleaseSequence.js';
import ReleaseChange from './ReleaseChange.js';

/** Row of the release log. */
const ReleaseRecord = z.object({
  sequence: ReleaseSequence,
  /** Identifies the publisher's attempt, so that it can look up the outcome after a lost answer. */
  nonce: Nonce,
  publishedAt: z.iso.datetime(),
  change: ReleaseChange,
});
type ReleaseRecord = z.infer<typeof ReleaseRecord>;

export default ReleaseRecord;
