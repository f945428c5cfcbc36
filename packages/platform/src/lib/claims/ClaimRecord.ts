import { z } from 'zod';
import { EntryId, Nonce } from '@dandelionlane/core';
import StoredAnswer from './StoredAnswer.js';

/**
 * Row of one call that runs at most once. `claimed`: its holder may send it.
 * `released`: the holder gave it up before it sent a byte, so it may be claimed
 * afresh. `completed`: the answer is kept for later calls with the same key.
 */
const ClaimRecord = z.object({
  nonce: Nonce,
  state: z.enum(['claimed', 'released', 'completed']),
  /** Hash of method, path and body; another request under the same key is refused. */
  fingerprint: z.string(),
  entry: EntryId,
  claimedAt: z.iso.datetime(),
  answer: StoredAnswer.nullable(),
});
type ClaimRecord = z.infer<typeof ClaimRecord>;

export default ClaimRecord;
